package org.geraniumproxy.measure.fairness;

/**
 * Metrics of a run.
 *
 * @param worstServedShare minimum, over all customers but the noisy neighbour, of the served share of the entitlement
 * @param worstLatencyMillisPercentile99 maximum, over the same customers, of the 99th percentile latency, in
 *     milliseconds
 * @param neighbourServedShare share of the noisy neighbour's requests that were served
 * @param slotUtilization share of the slots' time that was in use, from 0 to 1
 */
public record FairnessResult(
        double worstServedShare,
        double worstLatencyMillisPercentile99,
        double neighbourServedShare,
        double slotUtilization) {}
