package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Recent log positions of the primary of a group. Each position covers every commit acknowledged before the request was
 * sent whose answer reported the position. Only answers that prove the database to be the primary are recorded, because
 * a demoted primary reports a position that lacks newer commits.
 *
 * @param samples the samples in order of their times
 */
public record PrimaryPositionHistory(List<Sample> samples) {
    /** A history without samples. */
    public static final PrimaryPositionHistory NONE = new PrimaryPositionHistory(List.of());

    /** Minimum interval between samples; closer samples do not improve the choice of a position. */
    private static final Duration MINIMUM_SAMPLE_INTERVAL = Duration.ofMillis(40);

    /** Age at which a sample expires; no route reads at an older position. */
    private static final Duration MAXIMUM_SAMPLE_AGE = Duration.ofSeconds(10);

    private static final int MAXIMUM_SAMPLES = 64;

    /**
     * A confirmed log position of the primary.
     *
     * @param position the log position
     * @param coversCommitsBefore time before which every acknowledged commit is at or before the position
     */
    public record Sample(LogPosition position, Instant coversCommitsBefore) {}

    /** Makes an unmodifiable copy of the list. */
    public PrimaryPositionHistory {
        samples = List.copyOf(samples);
    }

    /**
     * Adds a sample, unless it follows the last one too closely.
     *
     * @param sample the new sample
     * @return the history without expired samples
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
     * Returns the latest sample.
     *
     * @return the latest sample, or empty if there is none
     */
    public Optional<Sample> latestSample() {
        return samples.isEmpty() ? Optional.empty() : Optional.of(samples.getLast());
    }

    /**
     * Returns the latest position.
     *
     * @return the latest position, or empty if there is no sample
     */
    public Optional<LogPosition> latest() {
        return latestSample().map(Sample::position);
    }

    /**
     * Returns the lowest position that covers every commit acknowledged before a given time.
     *
     * @param time time before which commits must be covered
     * @return the position, or empty if no sample is recent enough
     */
    public Optional<LogPosition> firstCovering(Instant time) {
        for (Sample sample : samples) {
            if (!sample.coversCommitsBefore().isBefore(time)) {
                return Optional.of(sample.position());
            }
        }
        return Optional.empty();
    }
}
