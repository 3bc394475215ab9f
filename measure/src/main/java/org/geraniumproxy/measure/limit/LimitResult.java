package org.geraniumproxy.measure.limit;

/**
 * Metrics of a run.
 *
 * @param requests requests that were admitted or refused
 * @param admitted requests that were admitted
 * @param refused requests that were refused
 * @param refusedByReference requests that a centralized bucket refuses for the same arrivals, deciding immediately
 * @param wronglyRefused requests that were refused although the centralized bucket admits them
 * @param maximumOverrun maximum number of tokens above burst + rate × T in any window
 * @param messages loan requests, offers and reports sent between VMs
 * @param waitMillisPercentile99 99th percentile of the time to the decision, in milliseconds
 */
public record LimitResult(
        long requests,
        long admitted,
        long refused,
        long refusedByReference,
        long wronglyRefused,
        double maximumOverrun,
        long messages,
        double waitMillisPercentile99) {
    /**
     * Returns the share of requests that were refused although the centralized bucket admits them.
     *
     * @return the share, from 0 to 1
     */
    public double wronglyRefusedShare() {
        return requests == 0 ? 0 : (double) wronglyRefused / requests;
    }

    /**
     * Returns the share of requests that were refused.
     *
     * @return the share, from 0 to 1
     */
    public double refusedShare() {
        return requests == 0 ? 0 : (double) refused / requests;
    }

    /**
     * Returns the share of requests that the centralized bucket refuses.
     *
     * @return the share, from 0 to 1
     */
    public double refusedByReferenceShare() {
        return requests == 0 ? 0 : (double) refusedByReference / requests;
    }
}
