package org.geraniumproxy.core.failover;

import java.time.Duration;

/** Durations of the supervision of a group. */
public final class FailoverTiming {
    /** Longest wait of a status request at a database. */
    public static final Duration MAXIMUM_STATUS_WAIT = Duration.ofMillis(100);

    /**
     * Time after which an unanswered status request is repeated: the wait at the database, the round trip between
     * regions of 24 ms, and as much again for a slow reply. It leaves one repetition within the shortest detection
     * timeout.
     */
    public static final Duration STATUS_RETRY_INTERVAL = Duration.ofMillis(250);

    /** Interval at which the passing of time is reported to the decision. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Time that the store has to answer the announcement of a promotion. */
    public static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofMillis(300);

    /** Time after which an unanswered fence, promote or follow is repeated. */
    public static final Duration COMMAND_RETRY_INTERVAL = Duration.ofMillis(300);

    /** Time after which fencing or promoting is abandoned, so that several attempts fit into the 12 s of a failover. */
    public static final Duration STEP_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Time that the remaining databases have to answer a fence after a majority has. A longer log among them saves
     * writes that were never acknowledged.
     */
    public static final Duration FENCE_GRACE_PERIOD = Duration.ofMillis(100);

    /**
     * Time that the remaining databases have to answer a fence if the choice would fall on a leaving database: two
     * repetitions. Promoting a leaving database makes a second switch necessary.
     */
    public static final Duration SWITCHOVER_FENCE_GRACE_PERIOD = Duration.ofMillis(700);

    /** Time that the standby leaves to the coordinator before it acts itself. */
    public static final Duration STANDBY_DELAY = Duration.ofMillis(500);

    /** Time that the standby leaves to the coordinator for a planned switch, which includes draining. */
    public static final Duration STANDBY_SWITCHOVER_DELAY = Duration.ofSeconds(3);

    /** Suspicion after which a primary is replaced although its replicas still hear from it. */
    public static final Duration LINK_FAULT_DELAY = Duration.ofSeconds(2);

    /** Time that another promoter has to complete a promotion that it has begun. */
    public static final Duration PEER_PROMOTION_TIMEOUT = Duration.ofSeconds(1);

    /** Time between two promotions of a group, unless the replicas report the new primary dead. */
    public static final Duration PROMOTION_COOLDOWN = Duration.ofSeconds(1);

    /** Time for which a group without any primary is watched until all of its databases have reported. */
    public static final Duration BOOTSTRAP_DELAY = Duration.ofMillis(300);

    /** Time in which statements that were sent before a planned switch began reach the leaving primary and end. */
    public static final Duration MINIMUM_DRAIN_TIME = Duration.ofMillis(200);

    /** Greatest replication lag at which a planned switch begins, because writes wait for the lag. */
    public static final Duration MAXIMUM_SWITCHOVER_LAG = Duration.ofSeconds(1);

    /**
     * Time between two tries of a planned switch. While a try is going on, writes wait, so that tries must take up only
     * a small part of the time.
     */
    public static final Duration SWITCHOVER_RETRY_INTERVAL = Duration.ofSeconds(10);

    private FailoverTiming() {}
}
