package org.geraniumproxy.measure.promotion;

import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.measure.process.Seconds;

/**
 * Promotion that took effect.
 *
 * @param database database that leads from now on
 * @param term its term
 * @param log newest position of the promoted log
 * @param holder node that requested it
 * @param requestedAt time of the request
 * @param at time at which it took effect
 * @param lost acknowledged commits that the promoted log lacks
 */
record Promotion(
        String database,
        long term,
        LogPosition log,
        String holder,
        Instant requestedAt,
        Instant at,
        List<Acknowledgement> lost) {
    /**
     * Commit that a database has acknowledged.
     *
     * @param position position of the commit
     * @param database database that acknowledged it
     * @param signature signature by which a caller is told of it
     * @param at time of the acknowledgement
     * @param holders databases that held the commit then
     */
    record Acknowledgement(LogPosition position, String database, String signature, Instant at, List<String> holders) {
        Acknowledgement {
            holders = List.copyOf(holders);
        }

        String describe(Promotion promotion) {
            return text(position) + " of " + database + " " + Seconds.between(promotion.requestedAt(), at) + " held by "
                    + holders;
        }
    }

    Promotion {
        lost = List.copyOf(lost);
    }

    /** Returns the promotion with other lost commits. */
    Promotion withLost(List<Acknowledgement> newLost) {
        return new Promotion(database, term, log, holder, requestedAt, at, newLost);
    }

    /** Describes the lost commits, with times relative to the request. */
    String describeLoss() {
        return "LOST " + lost.size() + " commits: group=" + ReplicationGroup.SERVICE + " promoted=" + database
                + " at=" + text(log) + " term=" + term + " requested by=" + holder + " effective="
                + Seconds.between(requestedAt, at) + " acknowledged=["
                + lost.stream().limit(5).map(commit -> commit.describe(this)).collect(Collectors.joining(", "))
                + "]";
    }

    private static String text(LogPosition position) {
        return position.term().number() + "." + position.position();
    }
}
