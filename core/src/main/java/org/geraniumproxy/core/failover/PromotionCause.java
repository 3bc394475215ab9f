package org.geraniumproxy.core.failover;

import java.time.Duration;

/** Why a primary is to be replaced. */
public enum PromotionCause {
    /** The group has never had a primary. */
    NEVER_PROMOTED(FailoverTiming.BOOTSTRAP_DELAY, false),
    /** Neither the supervisor nor any reachable replica hears from the primary, and a replica says so. */
    PRIMARY_DEAD(Duration.ZERO, false),
    /** The supervisor does not hear from the primary, and no reachable replica follows it. */
    PRIMARY_SILENT(Duration.ZERO, true),
    /** The supervisor does not hear from the primary, but a replica does. */
    LINK_FAULT(FailoverTiming.LINK_FAULT_DELAY, true),
    /** A promotion by another VM has fenced a database and has not been completed. */
    PROMOTION_UNFINISHED(FailoverTiming.PEER_PROMOTION_TIMEOUT, true),
    /** The primary is leaving. */
    PRIMARY_LEAVING(Duration.ZERO, true);

    private final Duration delay;
    private final boolean cooldown;

    PromotionCause(Duration delay, boolean cooldown) {
        this.delay = delay;
        this.cooldown = cooldown;
    }

    /**
     * Returns the time for which the cause must last.
     *
     * @param rank rank of the supervisor
     * @return the time
     */
    public Duration delay(int rank) {
        if (rank == 0) {
            return delay;
        }
        return delay.plus(
                this == PRIMARY_LEAVING ? FailoverTiming.STANDBY_SWITCHOVER_DELAY : FailoverTiming.STANDBY_DELAY);
    }

    /**
     * Tells whether the cause counts only after some time since the last promotion.
     *
     * @return true if {@link FailoverTiming#PROMOTION_COOLDOWN} applies
     */
    public boolean hasCooldown() {
        return cooldown;
    }

    /**
     * Tells whether the time for which another cause has lasted counts for this one too. The three degrees of a silent
     * primary change into each other while replicas lose their contact with it one by one.
     *
     * @param other the other cause
     * @return true if it counts
     */
    public boolean isContinuationOf(PromotionCause other) {
        return this == other || (isPrimaryUnreachable() && other.isPrimaryUnreachable());
    }

    private boolean isPrimaryUnreachable() {
        return this == PRIMARY_DEAD || this == PRIMARY_SILENT || this == LINK_FAULT;
    }
}
