package org.geraniumproxy.measure.promotion;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.promotion.LateCloudApi.Lateness;

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

        /**
         * The request for the promotion stays open. Before it takes effect, a replica appears that receives, and
         * confirms before the others do.
         *
         * @param lateness how late requests are
         * @param arrival the replica that appears
         * @param fault what happens to the node that sent the request
         */
        record OpenRequest(Lateness lateness, Arrival arrival, HolderFault fault) implements Disturbance {}

        /**
         * One replica receives nothing, and the other one ends for good. When its entry has expired, all nodes are
         * killed and started again, and then the primary departs.
         *
         * @param endDelay time between the last commit that the first replica receives and the end of the other one
         * @param killDelay time between that end and the end of the nodes, longer than an entry lasts
         * @param departureDelay time between the start of the nodes and the departure of the primary
         * @param receivesBefore whether the first replica receives again before the departure instead of after it
         */
        record RestartedNodes(Duration endDelay, Duration killDelay, Duration departureDelay, boolean receivesBefore)
                implements Disturbance {}
    }

    /**
     * Replica that appears while a request is open.
     *
     * @param delay time between the request and its start
     * @param entryDelay time between its start and its entry
     * @param replacesReplica whether a replica that is not the requested one crashes when the request is sent
     */
    record Arrival(Duration delay, Duration entryDelay, boolean replacesReplica) {}

    /** What happens to the node that sent an open request. */
    sealed interface HolderFault {
        /** It can't reach the primary for some seconds. */
        record None() implements HolderFault {}

        /**
         * It is killed. Soon after, the primary is reached by all.
         *
         * @param delay time between the request and its end
         * @param downtime time until it is started again
         * @param healing time between its end and the moment from which the primary is reached by all
         */
        record Killed(Duration delay, Duration downtime, Duration healing) implements HolderFault {}

        /**
         * It is stopped by SIGSTOP and goes on later. Soon after the stop, the primary is reached by all.
         *
         * @param delay time between the request and the stop
         * @param length time until it goes on
         * @param healing time between the stop and the moment from which the primary is reached by all
         */
        record Frozen(Duration delay, Duration length, Duration healing) implements HolderFault {}
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
        LATE_COMMANDS,
        OPEN_REQUEST_JOIN,
        OPEN_REQUEST_HOLDER_KILLED,
        OPEN_REQUEST_HOLDER_FROZEN,
        OPEN_REQUEST_RESTART,
        OPEN_REQUEST_SERIES,
        NODES_RESTARTED;

        /** Returns whether callers wait for a promotion: not if the primary serves some of them and comes back. */
        boolean needsPromotion() {
            return this != EXPIRED_CUT && this != PRIMARY_CUT && this != NODES_RESTARTED && !hasOpenRequest();
        }

        /** Returns whether the request for the promotion stays open. */
        boolean hasOpenRequest() {
            return switch (this) {
                case OPEN_REQUEST_JOIN,
                        OPEN_REQUEST_HOLDER_KILLED,
                        OPEN_REQUEST_HOLDER_FROZEN,
                        OPEN_REQUEST_RESTART,
                        OPEN_REQUEST_SERIES -> true;
                default -> false;
            };
        }

        /** Returns how many replacements follow each other, the next before the faults of the last have ended. */
        int overlappingReplacements() {
            return this == OPEN_REQUEST_SERIES ? 3 : 1;
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
                case OPEN_REQUEST_JOIN -> openRequest(seconds(random, 3, 8), false, new HolderFault.None(), random);
                case OPEN_REQUEST_RESTART -> openRequest(seconds(random, 3, 8), true, new HolderFault.None(), random);
                case OPEN_REQUEST_HOLDER_KILLED ->
                    openRequest(
                            new Lateness(millis(random, 3000, 6000), Duration.ofSeconds(6), Duration.ofSeconds(12)),
                            false,
                            new HolderFault.Killed(
                                    millis(random, 300, 1000), millis(random, 3000, 6000), millis(random, 200, 800)),
                            random);
                case OPEN_REQUEST_HOLDER_FROZEN ->
                    openRequest(
                            new Lateness(millis(random, 3000, 6000), Duration.ofSeconds(6), Duration.ofSeconds(12)),
                            false,
                            new HolderFault.Frozen(
                                    millis(random, 300, 1000), Duration.ofSeconds(4), millis(random, 200, 800)),
                            random);
                case OPEN_REQUEST_SERIES ->
                    SERIES.get(random.nextInt(SERIES.size())).create(random);
                case NODES_RESTARTED ->
                    new Scenario(
                            Departure.CRASH,
                            new Disturbance.RestartedNodes(
                                    millis(random, 200, 600),
                                    millis(random, 3700, 5000),
                                    millis(random, 1000, 2000),
                                    random.nextBoolean()));
            };
        }

        private static final List<Name> SERIES = List.of(
                OPEN_REQUEST_JOIN, OPEN_REQUEST_HOLDER_KILLED, OPEN_REQUEST_HOLDER_FROZEN, OPEN_REQUEST_RESTART);

        private static Scenario openRequest(
                Lateness lateness, boolean replacesReplica, HolderFault fault, RandomGenerator random) {
            Arrival arrival = new Arrival(millis(random, 200, 1000), Duration.ofMillis(200), replacesReplica);
            return new Scenario(Departure.CUT, new Disturbance.OpenRequest(lateness, arrival, fault));
        }

        private static Lateness seconds(RandomGenerator random, int shortest, int longest) {
            return new Lateness(millis(random, 2000, 6000), Duration.ofSeconds(shortest), Duration.ofSeconds(longest));
        }

        private static Duration millis(RandomGenerator random, int shortest, int longest) {
            return Duration.ofMillis(random.nextInt(shortest, longest));
        }

        private static Disturbance expired(RandomGenerator random) {
            return new Disturbance.ExpiredReplica(
                    Duration.ofMillis(random.nextInt(6300, 7500)),
                    Duration.ofMillis(random.nextInt(12_000, 16_000)),
                    random.nextBoolean());
        }
    }
}
