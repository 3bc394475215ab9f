package org.geraniumproxy.measure.report;

import java.util.Optional;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.failover.FailoverMeasurement;
import org.geraniumproxy.measure.figures.PartReport;

/** A part of the measurement. */
sealed interface MeasurePart {
    /** Gaps of failovers of real processes. */
    record Failover() implements MeasurePart {}

    /** Returns the part with a name. */
    static Optional<MeasurePart> of(String name) {
        return switch (name) {
            case "failover" -> Optional.of(new Failover());
            default -> Optional.empty();
        };
    }

    /** Runs the part. */
    default PartReport run(Deployment deployment, long seed) throws InterruptedException {
        return switch (this) {
            case Failover _ -> FailoverMeasurement.of(deployment, seed).run();
        };
    }
}
