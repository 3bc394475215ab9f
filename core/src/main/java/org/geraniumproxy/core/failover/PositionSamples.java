package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Bounded list of position samples whose density decreases with age. */
final class PositionSamples {
    static final int MAXIMUM_SAMPLES = 64;

    /** Keeps the weight of samples with an age of zero finite. */
    private static final Duration AGE_OFFSET = Duration.ofMillis(100);

    private PositionSamples() {}

    static List<PositionSample> add(List<PositionSample> samples, PositionSample sample) {
        List<PositionSample> changed = new ArrayList<>(samples);
        if (!changed.isEmpty()) {
            PositionSample newest = changed.getLast();
            if (!sample.requestSentAt().isAfter(newest.requestSentAt()) || sample.position() < newest.position()) {
                return samples;
            }
            if (sample.position() == newest.position()) {
                changed.removeLast();
            }
        }
        changed.add(sample);
        if (changed.size() > MAXIMUM_SAMPLES) {
            changed.remove(leastSignificantIndex(changed, sample.requestSentAt()));
        }
        return List.copyOf(changed);
    }

    /** Finds the sample whose removal leaves the smallest gap between its neighbors in relation to its age. */
    private static int leastSignificantIndex(List<PositionSample> samples, Instant now) {
        int least = 0;
        double leastWeight = Double.MAX_VALUE;
        for (int index = 1; index < samples.size() - 1; index++) {
            Duration gap = Duration.between(
                    samples.get(index - 1).requestSentAt(),
                    samples.get(index + 1).requestSentAt());
            Duration age =
                    Duration.between(samples.get(index).requestSentAt(), now).plus(AGE_OFFSET);
            double weight = (double) gap.toNanos() / age.toNanos();
            if (weight < leastWeight) {
                leastWeight = weight;
                least = index;
            }
        }
        return least;
    }
}
