package org.geraniumproxy.core.pool;

/**
 * A waiting request with its place in the order.
 *
 * @param request the request
 * @param virtualFinish virtual time at which the request would end in a system that serves all customers at once
 * @param sequence order of arrival
 */
record QueuedRequest(SlotRequest request, double virtualFinish, long sequence) {}
