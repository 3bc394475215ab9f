package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.time.Instant;

/**
 * What this VM knows of the responses of one database.
 *
 * @param standing share of the reads that it is given
 * @param window recent responses
 * @param consecutiveFailures failures since the last answer
 * @param outages number of times that it failed repeatedly after it had answered, each weighted by its age
 * @param outagesAsOf time up to which the weight of the outages is reduced
 * @param ejections number of ejections without a longer time of service between them
 */
public record DatabaseRecord(
        Standing standing,
        ResponseWindow window,
        int consecutiveFailures,
        double outages,
        Instant outagesAsOf,
        int ejections) {
    /** Failures in a row that make an outage; a single one is common when a connection is closed. */
    private static final int FAILURES_OF_OUTAGE = 2;

    /** A database that restarts in a loop fails and returns every few seconds. */
    private static final Duration OUTAGE_HALF_LIFE = Duration.ofSeconds(15);

    /** Duration of the first ejection; each further one takes twice as long. */
    private static final Duration FIRST_EJECTION = Duration.ofSeconds(5);

    private static final int MAXIMUM_DOUBLINGS = 3;

    static DatabaseRecord initial(Instant now) {
        return new DatabaseRecord(new Standing.Serving(now), ResponseWindow.empty(now), 0, 0, now, 0);
    }

    DatabaseRecord answered(Duration serviceTime, Instant now) {
        return new DatabaseRecord(standing, window.withAnswer(serviceTime, now), 0, outages, outagesAsOf, ejections);
    }

    DatabaseRecord failed(Instant now) {
        int failures = consecutiveFailures + 1;
        double known = outages(now);
        return new DatabaseRecord(
                standing,
                window.withFailure(now),
                failures,
                failures == FAILURES_OF_OUTAGE ? known + 1 : known,
                now,
                ejections);
    }

    double outages(Instant now) {
        return now.isAfter(outagesAsOf)
                ? outages * Decay.factor(Duration.between(outagesAsOf, now), OUTAGE_HALF_LIFE)
                : outages;
    }

    /** Ejects the database and forgets its responses, so that new ones decide about its return. */
    DatabaseRecord ejected(Instant now) {
        Duration time = FIRST_EJECTION.multipliedBy(1L << Math.min(ejections, MAXIMUM_DOUBLINGS));
        return new DatabaseRecord(
                new Standing.Ejected(now.plus(time)), ResponseWindow.empty(now), 0, 0, now, ejections + 1);
    }

    DatabaseRecord with(Standing next) {
        return new DatabaseRecord(next, window, consecutiveFailures, outages, outagesAsOf, ejections);
    }

    DatabaseRecord withoutEjections() {
        return new DatabaseRecord(standing, window, consecutiveFailures, outages, outagesAsOf, 0);
    }
}
