package org.geraniumproxy.measure.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;

/** Sizes and latencies of the two users' deployments today. */
public enum SimulatedDeployment {
    /** The festival house. */
    FESTIVAL(Duration.ofMillis(1), Duration.ofMillis(12), 2, 16, Duration.ofMillis(12)),
    /** The weed unit. */
    WEED(Duration.ofNanos(1_500_000), Duration.ofMillis(8), 5, 60, Duration.ofMillis(30));

    /** Entry VMs of a deployment. */
    public static final int VM_COUNT = 5;

    private final Duration latencyInRegion;
    private final Duration latencyBetweenRegions;
    private final int slots;
    private final int maximumConnections;
    private final Duration connectionSetupTime;

    SimulatedDeployment(
            Duration latencyInRegion,
            Duration latencyBetweenRegions,
            int slots,
            int maximumConnections,
            Duration connectionSetupTime) {
        this.latencyInRegion = latencyInRegion;
        this.latencyBetweenRegions = latencyBetweenRegions;
        this.slots = slots;
        this.maximumConnections = maximumConnections;
        this.connectionSetupTime = connectionSetupTime;
    }

    /**
     * Finds a deployment by its name on the command line.
     *
     * @param name the name, in lower case
     * @return the deployment
     * @throws IllegalArgumentException if there is none
     */
    public static SimulatedDeployment byName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns one of the entry VMs. VMs are spread over the regions in turn.
     *
     * @param index its index
     * @return the VM
     */
    public Vm vm(int index) {
        List<String> regions = regions();
        String region = regions.get(index % regions.size());
        return new Vm(
                index,
                VmName.of("vm-" + index),
                "127.0.0.1:" + (7000 + index),
                RegionName.of(region),
                FailureDomain.of(region + "-" + index / regions.size()),
                1,
                false);
    }

    /**
     * Returns the one-way latency between two VMs.
     *
     * @param from a VM
     * @param to another VM
     * @return the latency
     */
    public Duration latency(Vm from, Vm to) {
        return from.region().equals(to.region()) ? latencyInRegion : latencyBetweenRegions;
    }

    /**
     * Returns the statements that a database runs at once.
     *
     * @return the slots
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns the connections that a database accepts.
     *
     * @return the connections
     */
    public int maximumConnections() {
        return maximumConnections;
    }

    /**
     * Returns the one-way latency between failure domains of one region.
     *
     * @return the latency
     */
    public Duration latencyInRegion() {
        return latencyInRegion;
    }

    /**
     * Returns the one-way latency between regions.
     *
     * @return the latency
     */
    public Duration latencyBetweenRegions() {
        return latencyBetweenRegions;
    }

    /**
     * Returns the time that it takes to open a connection.
     *
     * @return the time
     */
    public Duration connectionSetupTime() {
        return connectionSetupTime;
    }

    private List<String> regions() {
        return switch (this) {
            case FESTIVAL -> List.of("lima", "cusco", "arequipa");
            case WEED -> List.of("západ", "stred", "východ");
        };
    }
}
