package org.geraniumproxy.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.failover.PositionSample;

/** Upper bound of the age of the data at a log position, proven by samples of the primary. */
public final class ReplicaAge {
    private ReplicaAge() {}

    /**
     * Returns the proven bound: the data at the position is no older than the time since the newest sample that lies at
     * or before the position.
     *
     * @param samples samples of the primary in ascending order of their time
     * @param position the position
     * @param now the present moment
     * @return the bound, or empty if no sample proves one
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
