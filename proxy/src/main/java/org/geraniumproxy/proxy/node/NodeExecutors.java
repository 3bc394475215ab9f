package org.geraniumproxy.proxy.node;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;

/**
 * The executors of a node.
 *
 * @param control owns the control state
 * @param limit owns the token buckets
 * @param pool owns slot queues and connections
 * @param traffic runs requests on virtual threads
 */
record NodeExecutors(
        ScheduledExecutorService control,
        ScheduledExecutorService limit,
        ScheduledExecutorService pool,
        ExecutorService traffic) {
    void close() {
        control.shutdown();
        limit.shutdown();
        pool.shutdown();
        traffic.shutdown();
    }
}
