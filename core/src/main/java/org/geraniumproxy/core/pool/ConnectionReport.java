package org.geraniumproxy.core.pool;

import java.time.Instant;

/**
 * A database's report of its open connections.
 *
 * @param requestSentAt time at which the report was requested
 * @param openConnections number of open connections from all VMs, including failed ones
 */
public record ConnectionReport(Instant requestSentAt, int openConnections) {}
