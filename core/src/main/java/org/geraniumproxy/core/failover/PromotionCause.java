package org.geraniumproxy.core.failover;

import java.time.Duration;

/** Reason to promote a database, and how long it must persist first. */
public enum PromotionCause {
    /** The group has never had a primary. */
    NEVER_PROMOTED(FailoverTiming.BOOTSTRAP_DELAY, false),
    /**
     * Neither the supervisor nor any reachable replica has contact with the primary, and at least one replica reports
     * so.
     */
    PRIMARY_DEAD(Duration.ZERO, false),
    /** The supervisor has no contact with the primary, and no reachable replica replicates from it. */
    PRIMARY_SILENT(Duration.ZERO, true),
    /** The supervisor has no contact with the primary, but a replica does. */
    LINK_FAULT(FailoverTiming.LINK_FAULT_DELAY, true),
    /** Another VM has fenced a database for a promotion that is not complete. */
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
     * Returns how long the cause must persist before a supervisor acts on it.
     *
     * @param rank 0 for the coordinator, 1 for the standby, which waits longer
     * @return the delay
     */
    public Duration delay(int rank) {
        if (rank == 0) {
            return delay;
        }
        return delay.plus(
                this == PRIMARY_LEAVING ? FailoverTiming.STANDBY_SWITCHOVER_DELAY : FailoverTiming.STANDBY_DELAY);
    }

    /**
     * Tells whether the cause is ignored for some time after a promotion.
     *
     * @return true if {@link FailoverTiming#PROMOTION_COOLDOWN} applies
     */
    public boolean hasCooldown() {
        return cooldown;
    }

    /**
     * Tells whether the time for which another cause has persisted also counts for this one. The three causes for an
     * unreachable primary turn into one another as replicas lose contact with it one by one.
     *
     * @param other the other cause
     * @return true if the cause is the same or both stand for an unreachable primary
     */
    public boolean isContinuationOf(PromotionCause other) {
        return this == other || (isPrimaryUnreachable() && other.isPrimaryUnreachable());
    }

    private boolean isPrimaryUnreachable() {
        return this == PRIMARY_DEAD || this == PRIMARY_SILENT || this == LINK_FAULT;
    }
}
