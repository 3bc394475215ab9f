package org.geraniumproxy.measure.simulation;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;

/** Sizes and latencies of the two deployments that the simulations model. */
public enum SimulatedDeployment {
    /** Deployment of the festival house. */
    FESTIVAL(Duration.ofMillis(1), Duration.ofMillis(12), 2, 16, Duration.ofMillis(12)),
    /** Deployment of the weed unit. */
    WEED(Duration.ofNanos(1_500_000), Duration.ofMillis(8), 5, 60, Duration.ofMillis(30));

    /** Number of entry VMs in a deployment. */
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
     * Returns the deployment with the given command-line name.
     *
     * @param name the name, in upper or lower case
     * @return the deployment
     * @throws IllegalArgumentException if no deployment has this name
     */
    public static SimulatedDeployment byName(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /**
     * Returns one of the entry VMs, which are assigned to the regions round-robin.
     *
     * @param index index of the VM, from zero
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
     * Returns the one-way network latency between two VMs.
     *
     * @param from the sending VM
     * @param to the receiving VM
     * @return the latency
     */
    public Duration latency(Vm from, Vm to) {
        return from.region().equals(to.region()) ? latencyInRegion : latencyBetweenRegions;
    }

    /**
     * Returns how many statements a database runs concurrently.
     *
     * @return number of slots per database
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns how many connections a database accepts.
     *
     * @return maximum number of connections per database
     */
    public int maximumConnections() {
        return maximumConnections;
    }

    /**
     * Returns the one-way network latency between failure domains of a region.
     *
     * @return the latency
     */
    public Duration latencyInRegion() {
        return latencyInRegion;
    }

    /**
     * Returns the one-way network latency between regions.
     *
     * @return the latency
     */
    public Duration latencyBetweenRegions() {
        return latencyBetweenRegions;
    }

    /**
     * Returns how long it takes to open a database connection.
     *
     * @return the setup time
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
