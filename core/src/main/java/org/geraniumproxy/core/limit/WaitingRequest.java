package org.geraniumproxy.core.limit;

import java.time.Instant;

/**
 * A request that waits for a token.
 *
 * @param requestNumber number of the request, unique on this VM
 * @param arrivedAt time at which the request arrived
 * @param deadline time at which the caller stops waiting
 */
record WaitingRequest(long requestNumber, Instant arrivedAt, Instant deadline) {}
