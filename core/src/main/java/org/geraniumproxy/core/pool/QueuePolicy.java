package org.geraniumproxy.core.pool;

/** Order in which waiting requests get slots. */
public sealed interface QueuePolicy {
    /** Weighted fair queuing by virtual finish times. */
    record WeightedFair() implements QueuePolicy {}

    /** First come, first served; the baseline. */
    record FirstComeFirstServed() implements QueuePolicy {}

    /**
     * Returns the policy of the proxy.
     *
     * @return weighted fair queuing
     */
    static QueuePolicy standard() {
        return new WeightedFair();
    }
}
