package org.geraniumproxy.core.pool;

/**
 * A waiting request with its sort keys.
 *
 * @param request the slot request
 * @param virtualFinish virtual time at which the request would end if all customers were served concurrently
 * @param sequence sequence number of its arrival
 */
record QueuedRequest(SlotRequest request, double virtualFinish, long sequence) {}
