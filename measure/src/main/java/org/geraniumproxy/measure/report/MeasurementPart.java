package org.geraniumproxy.measure.report;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.failover.FailoverMeasurement;
import org.geraniumproxy.measure.fairness.FairnessReport;
import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.limit.LimitsReport;
import org.geraniumproxy.measure.reads.ReadsReport;

/** A part of the measurement that can be selected on the command line. */
sealed interface MeasurementPart {
    /** Write unavailability during failovers of real processes, in real time. */
    record Failover() implements MeasurementPart {}

    /** Requests refused although the customer stays within its rate, on simulated time. */
    record Limits() implements MeasurementPart {}

    /** Share of requests served to the worst-served customer, on simulated time. */
    record Fairness() implements MeasurementPart {}

    /** Share of reads served by replicas, on simulated time. */
    record Reads() implements MeasurementPart {}

    /** Returns all parts, those on simulated time first. */
    static List<MeasurementPart> all() {
        return List.of(new Limits(), new Fairness(), new Reads(), new Failover());
    }

    /** Returns the part with the given command-line name, or empty if there is none. */
    static Optional<MeasurementPart> findByName(String name) {
        return switch (name) {
            case "failover" -> Optional.of(new Failover());
            case "limits" -> Optional.of(new Limits());
            case "fairness" -> Optional.of(new Fairness());
            case "reads" -> Optional.of(new Reads());
            default -> Optional.empty();
        };
    }

    /** Runs the part; the same seed gives the same load and faults. */
    default PartReport run(Deployment deployment, long seed) throws InterruptedException {
        var simulatedDeployment = org.geraniumproxy.measure.simulation.SimulatedDeployment.byName(deployment.name());
        return switch (this) {
            case Failover _ -> FailoverMeasurement.of(deployment, seed).run();
            case Limits _ -> LimitsReport.run(simulatedDeployment, seed);
            case Fairness _ -> FairnessReport.run(simulatedDeployment, seed);
            case Reads _ -> ReadsReport.run(simulatedDeployment, seed);
        };
    }
}
