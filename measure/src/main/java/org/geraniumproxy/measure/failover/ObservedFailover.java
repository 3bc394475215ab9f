package org.geraniumproxy.measure.failover;

import java.time.Instant;

/**
 * One failover.
 *
 * @param group the group
 * @param kind how its primary failed
 * @param oldPrimary the primary that failed
 * @param newPrimary the primary of the next term
 * @param failedAt moment at which the old primary failed
 * @param phases moments of the failover
 */
public record ObservedFailover(
        String group, FaultKind kind, String oldPrimary, String newPrimary, Instant failedAt, FailoverPhases phases) {}
