package org.geraniumproxy.core.failover;

import java.time.Instant;

/**
 * A position that the current primary reported. Everything that was committed before the request was sent lies at or
 * before the position.
 *
 * @param requestSentAt moment on this VM's clock at which the request was sent
 * @param position the position that the primary reported
 */
public record PositionSample(Instant requestSentAt, long position) {}
