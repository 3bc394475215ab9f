package org.geraniumproxy.core.failover;

import java.time.Instant;

/**
 * Cause of a promotion and when it was first observed.
 *
 * @param cause the cause
 * @param since time since which the cause has persisted
 */
public record PromotionTrigger(PromotionCause cause, Instant since) {}
