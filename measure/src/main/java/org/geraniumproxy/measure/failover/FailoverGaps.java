package org.geraniumproxy.measure.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.measure.load.CallResult;
import org.geraniumproxy.measure.load.RequestRecord;

/**
 * Gaps in service, one for each failover, in ascending order.
 *
 * @param gaps the gaps
 * @param unfinished failovers after which no write was acknowledged
 */
public record FailoverGaps(List<Duration> gaps, int unfinished) {
    /** Sorts the gaps. */
    public FailoverGaps {
        gaps = gaps.stream().sorted().toList();
    }

    /**
     * Measures each failover from the last write that the old primary's group had acknowledged to the first one that
     * the new primary served.
     *
     * @param events the failovers
     * @param records the records of the writers
     * @return the gaps
     */
    public static FailoverGaps of(List<FailoverEvent> events, List<RequestRecord> records) {
        List<Duration> gaps = new ArrayList<>();
        for (FailoverEvent event : events) {
            gap(event, records).ifPresent(gaps::add);
        }
        return new FailoverGaps(gaps, events.size() - gaps.size());
    }

    /**
     * Returns a percentile by the nearest rank.
     *
     * @param percent from 0 to 100
     * @return the gap, empty if there are none
     */
    public Optional<Duration> percentile(double percent) {
        if (gaps.isEmpty()) {
            return Optional.empty();
        }
        int rank = (int) Math.ceil(percent / 100 * gaps.size());
        return Optional.of(gaps.get(Math.max(rank, 1) - 1));
    }

    private static Optional<Duration> gap(FailoverEvent event, List<RequestRecord> records) {
        Optional<Instant> first = acknowledgements(records, event.newPrimary())
                .filter(request -> request.endedAt().isAfter(event.failedAt()))
                .map(RequestRecord::endedAt)
                .min(Comparator.naturalOrder());
        Optional<Instant> last = first.flatMap(end -> acknowledgements(records, event.oldPrimary())
                .map(RequestRecord::endedAt)
                .filter(endedAt -> endedAt.isBefore(end))
                .max(Comparator.naturalOrder()));
        return last.map(start -> Duration.between(start, first.orElseThrow()));
    }

    private static Stream<RequestRecord> acknowledgements(List<RequestRecord> records, String backendServer) {
        return records.stream()
                .filter(RequestRecord::isAcknowledgedWrite)
                .filter(request -> request.result() instanceof CallResult.Answered answered
                        && answered.servedBy().equals(backendServer));
    }
}
