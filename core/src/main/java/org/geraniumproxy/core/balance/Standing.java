package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.time.Instant;

/** Share of the reads that a database is given. */
public sealed interface Standing {
    /**
     * The database is given its full share.
     *
     * @param since time from which it was
     */
    record Serving(Instant since) implements Standing {}

    /**
     * The database is given no reads while another one can serve them.
     *
     * @param until time at which it is tried again
     */
    record Ejected(Instant until) implements Standing {}

    /**
     * The database is tried again with a growing share.
     *
     * @param since time of the first statement that it may be given again
     */
    record Returning(Instant since) implements Standing {
        /** Share at the start: one statement in 20 shows within a second or two whether the fault persists. */
        static final double FIRST_SHARE = 0.05;

        /** Time until the full share: twice the half-life of the evidence. */
        static final Duration RAMP_TIME = ResponseWindow.HALF_LIFE.multipliedBy(2);
    }

    /**
     * Returns the share of its usual reads that the database is given.
     *
     * @param now current time
     * @return from 0 to 1
     */
    default double admittedShare(Instant now) {
        return switch (this) {
            case Serving _ -> 1;
            case Ejected _ -> 0;
            case Returning returning -> {
                double progress =
                        (double) Duration.between(returning.since(), now).toNanos() / Returning.RAMP_TIME.toNanos();
                yield Math.clamp(Returning.FIRST_SHARE + (1 - Returning.FIRST_SHARE) * progress, 0, 1);
            }
        };
    }
}
