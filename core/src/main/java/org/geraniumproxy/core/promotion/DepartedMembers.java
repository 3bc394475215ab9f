package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Members of a group of which only the record of the group is evidence: their entries had expired before this process
 * started, or so long ago that they are not expected to run. Callers of earlier processes may have been told of commits
 * that only such a member had confirmed. These are at or before any position of the primary that was read since, so a
 * log that reaches it holds them. Later commits were passed on by processes that run, whose acknowledged positions are
 * compared in any case.
 *
 * @param learnedAt time at which this process learned of each member
 * @param primaryPosition newest position of the primary that this VM has read, or empty if it has read none
 */
public record DepartedMembers(
        Map<BackendServerName, Instant> learnedAt, Optional<PrimaryPositionHistory.Sample> primaryPosition) {
    /** All databases of the group have been seen with an entry. */
    public static final DepartedMembers NONE = new DepartedMembers(Map.of(), Optional.empty());

    /** Copies the map. */
    public DepartedMembers {
        learnedAt = Map.copyOf(learnedAt);
    }

    Set<BackendServerName> names() {
        return learnedAt.keySet();
    }

    /**
     * Returns whether a log holds every commit that only departed members had confirmed.
     *
     * @param log last position of the log
     * @return false if the log is behind, or if the position of the primary is not known well enough
     */
    public boolean areCoveredBy(LogPosition log) {
        return bound().filter(position -> log.compareTo(position) >= 0).isPresent();
    }

    /** Returns the position that a log must reach, or empty if no position of the primary was read in time. */
    private Optional<LogPosition> bound() {
        Instant known =
                learnedAt.values().stream().max(Comparator.naturalOrder()).orElse(Instant.MIN);
        return primaryPosition
                .filter(sample -> !sample.coversCommitsBefore().isBefore(known))
                .map(PrimaryPositionHistory.Sample::position);
    }

    /** Describes the missing evidence, for the log. */
    String describeBound() {
        return bound().map(position -> "a log that reaches the position " + PromotionChoice.text(position)
                        + " of the primary is needed")
                .orElse("no position of the primary has been read since");
    }

    /** Returns how each member is known and the position of the primary, with their ages, for the log. */
    String describe(Instant now) {
        return "recorded="
                + learnedAt.entrySet().stream()
                        .sorted(Comparator.comparing(entry -> entry.getKey().value()))
                        .map(entry -> entry.getKey() + ":" + age(entry.getValue(), now))
                        .toList()
                + " primaryPosition="
                + primaryPosition
                        .map(sample -> PromotionChoice.text(sample.position()) + ",age:"
                                + age(sample.coversCommitsBefore(), now))
                        .orElse("none");
    }

    private static String age(Instant since, Instant now) {
        return Duration.between(since, now).toMillis() + "ms";
    }
}
