package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Positions of the primary of a group with the moment since which they cover every acknowledged commit: the moment at
 * which the request was sent whose answer named the position. Only answers that prove the database to be the primary
 * count, because a replaced primary names a position that lacks newer commits.
 *
 * @param samples the samples in order of their moments
 */
public record PrimaryPositionHistory(List<Sample> samples) {
    /** No sample. */
    public static final PrimaryPositionHistory NONE = new PrimaryPositionHistory(List.of());

    /** Samples closer together than this add nothing to the choice of a position. */
    private static final Duration MINIMUM_SAMPLE_INTERVAL = Duration.ofMillis(40);

    /** Age after which no accepted age on a route is served by a sample. */
    private static final Duration MAXIMUM_SAMPLE_AGE = Duration.ofSeconds(10);

    private static final int MAXIMUM_SAMPLES = 64;

    /**
     * A position of the primary.
     *
     * @param position the position
     * @param coversCommitsBefore every commit that was acknowledged before this moment is at or before the position
     */
    public record Sample(LogPosition position, Instant coversCommitsBefore) {}

    /** Copies the list. */
    public PrimaryPositionHistory {
        samples = List.copyOf(samples);
    }

    /**
     * Adds a sample.
     *
     * @param sample the sample
     * @return the samples without those that no route can use any more
     */
    public PrimaryPositionHistory with(Sample sample) {
        if (!samples.isEmpty()) {
            Sample last = samples.getLast();
            if (Duration.between(last.coversCommitsBefore(), sample.coversCommitsBefore())
                            .compareTo(MINIMUM_SAMPLE_INTERVAL)
                    < 0) {
                return this;
            }
        }
        List<Sample> next = new ArrayList<>(samples.size() + 1);
        Instant oldest = sample.coversCommitsBefore().minus(MAXIMUM_SAMPLE_AGE);
        int first = Math.max(0, samples.size() + 1 - MAXIMUM_SAMPLES);
        for (Sample known : samples.subList(first, samples.size())) {
            if (known.coversCommitsBefore().isAfter(oldest)) {
                next.add(known);
            }
        }
        next.add(sample);
        return new PrimaryPositionHistory(next);
    }

    /**
     * Returns the newest position.
     *
     * @return the position, or empty if there is no sample
     */
    public Optional<LogPosition> latest() {
        return samples.isEmpty()
                ? Optional.empty()
                : Optional.of(samples.getLast().position());
    }

    /**
     * Returns the smallest position that covers every commit acknowledged before a moment.
     *
     * @param moment the moment
     * @return the position, or empty if no sample is young enough
     */
    public Optional<LogPosition> firstCovering(Instant moment) {
        for (Sample sample : samples) {
            if (!sample.coversCommitsBefore().isBefore(moment)) {
                return Optional.of(sample.position());
            }
        }
        return Optional.empty();
    }
}
