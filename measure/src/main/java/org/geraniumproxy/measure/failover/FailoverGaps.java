package org.geraniumproxy.measure.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.geraniumproxy.measure.load.CallResult;
import org.geraniumproxy.measure.load.RequestRecord;

/**
 * Periods without acknowledged writes, one for each failover.
 *
 * @param gaps gaps of the failovers after which a write was acknowledged
 * @param failoversWithoutWrite number of failovers after which no write was acknowledged
 */
public record FailoverGaps(List<Gap> gaps, int failoversWithoutWrite) {
    /**
     * Duration of a gap and of its phases, which add up to the total.
     *
     * @param total from the last acknowledgement before the failover to the first one after it
     * @param detection until the group record changed
     * @param agreement until a database was fenced
     * @param fencing until the new primary was promoted
     * @param catchingUp until another database replicated from it
     * @param learning until a caller received the first acknowledgement
     */
    public record Gap(
            Duration total,
            Duration detection,
            Duration agreement,
            Duration fencing,
            Duration catchingUp,
            Duration learning) {}

    /** Makes an unmodifiable copy of the gaps. */
    public FailoverGaps {
        gaps = List.copyOf(gaps);
    }

    /**
     * Measures each failover from the last write acknowledged by the old primary to the first write acknowledged by the
     * new primary after the fault.
     *
     * @param events the failovers
     * @param records requests of the writers
     * @return the gaps, in the order of the failovers
     */
    public static FailoverGaps of(List<ObservedFailover> events, List<RequestRecord> records) {
        List<Gap> gaps = new ArrayList<>();
        for (ObservedFailover event : events) {
            findGap(event, records).ifPresent(gaps::add);
        }
        return new FailoverGaps(gaps, events.size() - gaps.size());
    }

    /**
     * Returns a percentile of the total gaps by the nearest-rank method.
     *
     * @param percent from 0 to 100
     * @return the duration, empty if there are no gaps
     */
    public Optional<Duration> percentile(double percent) {
        return percentile(percent, Gap::total);
    }

    /**
     * Returns a percentile of the gaps or of one of their phases by the nearest-rank method.
     *
     * @param percent from 0 to 100
     * @param duration selects the total or a phase
     * @return the duration, empty if there are no gaps
     */
    public Optional<Duration> percentile(double percent, Function<Gap, Duration> duration) {
        if (gaps.isEmpty()) {
            return Optional.empty();
        }
        List<Duration> sorted = gaps.stream().map(duration).sorted().toList();
        int rank = (int) Math.ceil(percent / 100 * sorted.size());
        return Optional.of(sorted.get(Math.max(rank, 1) - 1));
    }

    private static Optional<Gap> findGap(ObservedFailover event, List<RequestRecord> records) {
        Optional<Instant> firstAfter = acknowledgements(records, event.newPrimary())
                .filter(end -> end.isAfter(event.failedAt()))
                .min(Comparator.naturalOrder());
        Optional<Instant> lastBefore = firstAfter.flatMap(end -> acknowledgements(records, event.oldPrimary())
                .filter(earlier -> earlier.isBefore(end))
                .max(Comparator.naturalOrder()));
        return lastBefore.map(start -> splitIntoPhases(start, event.phases(), firstAfter.orElseThrow()));
    }

    /** Splits a gap into phases. A phase that was observed to end after the first acknowledgement ends with it. */
    private static Gap splitIntoPhases(Instant start, FailoverPhases phases, Instant end) {
        List<Instant> ends = phases.phaseEnds(start).stream()
                .map(phaseEnd -> phaseEnd.isAfter(end) ? end : phaseEnd)
                .toList();
        return new Gap(
                Duration.between(start, end),
                Duration.between(start, ends.get(0)),
                Duration.between(ends.get(0), ends.get(1)),
                Duration.between(ends.get(1), ends.get(2)),
                Duration.between(ends.get(2), ends.get(3)),
                Duration.between(ends.get(3), end));
    }

    private static Stream<Instant> acknowledgements(List<RequestRecord> records, String backendServer) {
        return records.stream()
                .filter(RequestRecord::isAcknowledgedWrite)
                .filter(request -> request.result() instanceof CallResult.Answered answered
                        && answered.servedBy().equals(backendServer))
                .map(RequestRecord::endedAt);
    }
}
