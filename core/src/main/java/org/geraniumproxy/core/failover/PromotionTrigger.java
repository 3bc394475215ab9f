package org.geraniumproxy.core.failover;

import java.time.Instant;

/**
 * A cause for a promotion and the moment since which it has lasted.
 *
 * @param cause the cause
 * @param since moment at which it was first seen
 */
public record PromotionTrigger(PromotionCause cause, Instant since) {}
