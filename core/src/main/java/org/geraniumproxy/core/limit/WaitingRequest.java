package org.geraniumproxy.core.limit;

import java.time.Instant;

/**
 * A request that waits for a token.
 *
 * @param requestNumber its number
 * @param arrivedAt moment at which it began to wait
 * @param deadline moment at which it is no longer wanted
 */
record WaitingRequest(long requestNumber, Instant arrivedAt, Instant deadline) {}
