package org.geraniumproxy.measure.failover;

import java.time.Instant;

/**
 * One failover, as observed from outside the proxies.
 *
 * @param group name of the group
 * @param kind fault of the old primary
 * @param oldPrimary name of the primary that failed
 * @param newPrimary name of the primary of the next term
 * @param failedAt time at which the fault was injected
 * @param phases observed ends of the phases
 */
public record ObservedFailover(
        String group, FaultKind kind, String oldPrimary, String newPrimary, Instant failedAt, FailoverPhases phases) {}
