package org.geraniumproxy.measure.promotion;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Replacement of a primary and what happens beside it.
 *
 * @param departure how the primary goes
 * @param disturbance what happens beside it
 */
record Scenario(Departure departure, Disturbance disturbance) {
    /** How a primary goes. */
    enum Departure {
        /** A new replica starts, then the primary reports that it leaves, and ends some seconds later. */
        PLANNED,
        /** The primary crashes and starts again some seconds later. */
        CRASH,
        /** The node that holds the promotion lease and one more can't reach the primary for some seconds. */
        CUT
    }

    /** What happens beside a replacement. */
    sealed interface Disturbance {
        /** All databases answer and are listed. */
        record None() implements Disturbance {}

        /**
         * The store is silent before the primary reports that it leaves, and the entry of the new replica, which
         * confirms before the others do, arrives late.
         *
         * @param silence time without answers of the store
         * @param entryDelay time between the notice of the primary and the entry of the new replica
         */
        record UnlistedSuccessor(Duration silence, Duration entryDelay) implements Disturbance {}

        /**
         * The entry of a replica expires, and nodes don't reach it. It receives and confirms before the others do.
         *
         * @param lead time between its last heartbeat and the departure
         * @param length time after which it is reached and listed again
         * @param byHolderOnly whether only the node that holds the promotion lease doesn't reach it, instead of all
         */
        record ExpiredReplica(Duration lead, Duration length, boolean byHolderOnly) implements Disturbance {}

        /**
         * A replica, which confirms before the others do, carries out commands late.
         *
         * @param delay time between a command and its effect
         */
        record LateCommands(Duration delay) implements Disturbance {}
    }

    /** Names of the scenarios. */
    enum Name {
        ORDINARY_PLANNED,
        ORDINARY_CRASH,
        UNLISTED_SUCCESSOR,
        EXPIRED_PLANNED,
        EXPIRED_CRASH,
        EXPIRED_CUT,
        PRIMARY_CUT,
        LATE_COMMANDS;

        /** Returns whether callers wait for a promotion: not if the primary serves some of them and comes back. */
        boolean needsPromotion() {
            return this != EXPIRED_CUT && this != PRIMARY_CUT;
        }

        /** Returns whether the primary leaves or crashes while all other databases answer. */
        boolean isOrdinary() {
            return this == ORDINARY_PLANNED || this == ORDINARY_CRASH;
        }

        /** Returns the scenario with random times. */
        Scenario create(RandomGenerator random) {
            return switch (this) {
                case ORDINARY_PLANNED -> new Scenario(Departure.PLANNED, new Disturbance.None());
                case ORDINARY_CRASH -> new Scenario(Departure.CRASH, new Disturbance.None());
                case UNLISTED_SUCCESSOR ->
                    new Scenario(
                            Departure.PLANNED,
                            new Disturbance.UnlistedSuccessor(
                                    Duration.ofMillis(random.nextInt(1200, 2600)),
                                    Duration.ofMillis(random.nextInt(50, 2000))));
                case EXPIRED_PLANNED -> new Scenario(Departure.PLANNED, expired(random));
                case EXPIRED_CRASH -> new Scenario(Departure.CRASH, expired(random));
                case EXPIRED_CUT -> new Scenario(Departure.CUT, expired(random));
                case PRIMARY_CUT -> new Scenario(Departure.CUT, new Disturbance.None());
                case LATE_COMMANDS ->
                    new Scenario(
                            Departure.PLANNED,
                            new Disturbance.LateCommands(Duration.ofMillis(random.nextInt(2000, 12_000))));
            };
        }

        private static Disturbance expired(RandomGenerator random) {
            return new Disturbance.ExpiredReplica(
                    Duration.ofMillis(random.nextInt(6300, 7500)),
                    Duration.ofMillis(random.nextInt(12_000, 16_000)),
                    random.nextBoolean());
        }
    }
}
