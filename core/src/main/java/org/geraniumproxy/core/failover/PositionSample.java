package org.geraniumproxy.core.failover;

import java.time.Instant;

/**
 * Log position reported by the current primary. Every write committed before the request was sent is at or before this
 * position.
 *
 * @param requestSentAt time on this VM's clock at which the request was sent
 * @param position the reported position
 */
public record PositionSample(Instant requestSentAt, long position) {}
