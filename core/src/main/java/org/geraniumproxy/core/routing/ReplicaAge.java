package org.geraniumproxy.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.failover.PositionSample;

/** Upper bound on the age of the data at a log position, derived from position samples of the primary. */
public final class ReplicaAge {
    private ReplicaAge() {}

    /**
     * Returns an upper bound on the age: the time since the latest sample at or before the position.
     *
     * @param samples samples of the primary in ascending order of time
     * @param position the position
     * @param now the current time
     * @return the bound, empty if no sample is at or before the position
     */
    public static Optional<Duration> upperBound(List<PositionSample> samples, long position, Instant now) {
        return provenAt(samples, position).map(provenAt -> Duration.between(provenAt, now));
    }

    static Optional<Instant> provenAt(List<PositionSample> samples, long position) {
        return samples.reversed().stream()
                .filter(sample -> sample.position() <= position)
                .findFirst()
                .map(PositionSample::requestSentAt);
    }
}
