package org.geraniumproxy.core.failover;

import java.time.Duration;

/** Timeouts and intervals of group supervision and failover. */
public final class FailoverTiming {
    /** Longest time for which a database holds a status request before it answers. */
    public static final Duration MAXIMUM_STATUS_WAIT = Duration.ofMillis(100);

    /**
     * Time after which an unanswered status request is repeated: the wait at the database, the 24 ms round trip between
     * regions, and the same again for a slow reply. It allows one repetition within the minimum detection timeout.
     */
    public static final Duration STATUS_RETRY_INTERVAL = Duration.ofMillis(250);

    /** Interval between {@link FailoverEvent.TimePassed} events. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Time to wait for the store's reply to an announcement. The promotion continues without it. */
    public static final Duration ANNOUNCEMENT_TIMEOUT = Duration.ofMillis(300);

    /** Time after which an unanswered fence, promote or follow command is repeated. */
    public static final Duration COMMAND_RETRY_INTERVAL = Duration.ofMillis(300);

    /**
     * Time after which draining, fencing or promoting is abandoned. Several attempts fit into the 12 s allowed for a
     * failover.
     */
    public static final Duration STEP_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Time to wait for the remaining databases after a majority is fenced. A longer log among them preserves writes
     * that were not acknowledged yet.
     */
    public static final Duration FENCE_GRACE_PERIOD = Duration.ofMillis(100);

    /**
     * Time to wait for the remaining databases if the promotion candidate is leaving: two repetitions of the command.
     * Promoting a leaving database would require a second switchover.
     */
    public static final Duration SWITCHOVER_FENCE_GRACE_PERIOD = Duration.ofMillis(700);

    /** Time by which the standby acts later than the coordinator. */
    public static final Duration STANDBY_DELAY = Duration.ofMillis(500);

    /** Time by which the standby starts a switchover later than the coordinator, which needs time to drain. */
    public static final Duration STANDBY_SWITCHOVER_DELAY = Duration.ofSeconds(3);

    /**
     * Time for which this VM must have lost contact with a primary before it replaces one that a replica still reaches.
     */
    public static final Duration LINK_FAULT_DELAY = Duration.ofSeconds(2);

    /** Time that another VM has to complete a promotion that it has started. */
    public static final Duration PEER_PROMOTION_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Minimum time between two promotions of a group. It does not apply when the replicas have also lost contact with
     * the primary.
     */
    public static final Duration PROMOTION_COOLDOWN = Duration.ofSeconds(1);

    /** Time to wait for reports from all databases of a group that has never had a primary. */
    public static final Duration BOOTSTRAP_DELAY = Duration.ofMillis(300);

    /** Time for statements sent before a switchover began to reach the leaving primary and finish. */
    public static final Duration MINIMUM_DRAIN_TIME = Duration.ofMillis(200);

    /**
     * Maximum replication lag at which a switchover starts, because writes are blocked until the successor has caught
     * up.
     */
    public static final Duration MAXIMUM_SWITCHOVER_LAG = Duration.ofSeconds(1);

    /**
     * Time between two switchover attempts. Writes are blocked during an attempt, so attempts must take up only a small
     * part of the time.
     */
    public static final Duration SWITCHOVER_RETRY_INTERVAL = Duration.ofSeconds(10);

    private FailoverTiming() {}
}
