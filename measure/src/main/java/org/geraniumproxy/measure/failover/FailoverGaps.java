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
 * Gaps in service, one for each failover.
 *
 * @param gaps the gaps
 * @param failoversWithoutWrite failovers after which no write was acknowledged
 */
public record FailoverGaps(List<Gap> gaps, int failoversWithoutWrite) {
    /**
     * A gap with its phases, which add up to it.
     *
     * @param total from the last acknowledgement before the failover to the first one after it
     * @param detection until the promotion was announced
     * @param agreement until a database was fenced
     * @param fencing until the new primary was promoted
     * @param catchingUp until another database replicated from it
     * @param learning until a caller got the first acknowledgement
     */
    public record Gap(
            Duration total,
            Duration detection,
            Duration agreement,
            Duration fencing,
            Duration catchingUp,
            Duration learning) {}

    /** Copies the gaps. */
    public FailoverGaps {
        gaps = List.copyOf(gaps);
    }

    /**
     * Measures each failover from the last write that the old primary's group had acknowledged to the first one that
     * the new primary served.
     *
     * @param events the failovers
     * @param records the records of the writers
     * @return the gaps
     */
    public static FailoverGaps of(List<ObservedFailover> events, List<RequestRecord> records) {
        List<Gap> gaps = new ArrayList<>();
        for (ObservedFailover event : events) {
            findGap(event, records).ifPresent(gaps::add);
        }
        return new FailoverGaps(gaps, events.size() - gaps.size());
    }

    /**
     * Returns a percentile of the gaps by the nearest rank.
     *
     * @param percent from 0 to 100
     * @return the duration, empty if there are no gaps
     */
    public Optional<Duration> percentile(double percent) {
        return percentile(percent, Gap::total);
    }

    /**
     * Returns a percentile of the gaps or of one of their phases by the nearest rank.
     *
     * @param percent from 0 to 100
     * @param duration chooses the gap or a phase
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

    /** A phase whose end was seen only after the first acknowledgement ends with it. */
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
