package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.pool.PoolLoad;

/**
 * Load of a database by the other VMs, as a watcher or the owner of the database's connections told it.
 *
 * @param outstanding expected number of their statements that wait for or use a slot
 * @param responses recent responses of the database to the VMs of the region
 * @param asOf time of the figures
 */
public record ReportedLoad(double outstanding, ResponseSummary responses, Instant asOf) {
    /**
     * Sums over a smaller part of the fleet are ignored: extended to all VMs, one statement of a single VM would look
     * like an overload. With regions of different sizes a region has a smaller part than a third.
     */
    private static final double MAXIMUM_SCALE = 8;

    /**
     * Extends the sum over the VMs of a region to all other VMs of the fleet. The VMs of other regions report to their
     * own watchers, and are taken to have the same load on average.
     *
     * @param report sum over the VMs of the region without this one
     * @param reportingVms number of VMs in the sum
     * @param fleetVms number of VMs in the fleet
     * @param askedAt time at which the report was asked for; its age counts from then, because the time of its transit
     *     is unknown
     * @return expected load of all other VMs, or empty if too few of them report
     */
    public static Optional<ReportedLoad> of(LoadReport report, int reportingVms, int fleetVms, Instant askedAt) {
        double scale = Math.max(1.0, (fleetVms - 1.0) / reportingVms);
        return scale > MAXIMUM_SCALE
                ? Optional.empty()
                : Optional.of(new ReportedLoad(
                        report.outstanding() * scale, report.responses(), askedAt.minus(report.age())));
    }

    /**
     * Returns the load of the other VMs at a database whose connections one VM owns: its queue holds the statements of
     * the whole fleet.
     *
     * @param load load that the owner reported
     * @param ownStatements statements of this VM that the load includes
     * @param receivedAt time at which the report arrived
     * @return load of all other VMs, without responses
     */
    public static ReportedLoad ofOwner(PoolLoad load, int ownStatements, Instant receivedAt) {
        int others = Math.max(0, load.slotsInUse() + load.waiting() - ownStatements);
        return new ReportedLoad(others, ResponseSummary.NONE, receivedAt);
    }

    /**
     * Returns the figures with the responses of another report.
     *
     * @param other report whose responses are known
     * @return load and time of this report, and the responses of the other one
     */
    public ReportedLoad withResponses(ReportedLoad other) {
        return new ReportedLoad(outstanding, other.responses(), asOf);
    }

    /**
     * Returns the age of the figures.
     *
     * @param now current time
     * @return the age, not negative
     */
    public Duration age(Instant now) {
        return now.isAfter(asOf) ? Duration.between(asOf, now) : Duration.ZERO;
    }
}
