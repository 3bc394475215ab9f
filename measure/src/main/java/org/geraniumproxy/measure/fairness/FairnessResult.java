package org.geraniumproxy.measure.fairness;

/**
 * Figures of a run.
 *
 * @param worstServedShare smallest share of its entitlement that a customer other than the neighbour was served
 * @param worstLatencyMillisPercentile99 largest 99th percentile of the time to an answer of those customers, in milliseconds
 * @param neighbourServedShare share of its requests that the neighbour was served
 * @param slotUtilization share of the slots' time in use
 */
public record FairnessResult(
        double worstServedShare, double worstLatencyMillisPercentile99, double neighbourServedShare, double slotUtilization) {}
