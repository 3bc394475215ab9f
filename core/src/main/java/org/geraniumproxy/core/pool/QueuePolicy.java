package org.geraniumproxy.core.pool;

/** Order in which waiting requests are granted slots. */
public sealed interface QueuePolicy {
    /** Weighted fair queuing by virtual finish times. */
    record WeightedFair() implements QueuePolicy {}

    /** First come, first served; the baseline in measurements. */
    record FirstComeFirstServed() implements QueuePolicy {}

    /**
     * Returns the policy that the proxy uses.
     *
     * @return weighted fair queuing
     */
    static QueuePolicy standard() {
        return new WeightedFair();
    }
}
