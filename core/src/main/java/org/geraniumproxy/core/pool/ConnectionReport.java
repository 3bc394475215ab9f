package org.geraniumproxy.core.pool;

import java.time.Instant;

/**
 * A database's report of its open connections.
 *
 * @param requestSentAt moment at which the report was asked for
 * @param openConnections connections that are open, from all VMs, also from dead ones
 */
public record ConnectionReport(Instant requestSentAt, int openConnections) {}
