package org.geraniumproxy.measure.limit;

/**
 * Figures of a run.
 *
 * @param requests requests that were decided
 * @param admitted requests that were admitted
 * @param refused requests that were refused
 * @param refusedByReference requests that one ideal bucket refuses on the same arrivals, without any wait
 * @param wronglyRefused requests that were refused and that the ideal bucket admits
 * @param maximumOverrun most tokens over burst + rate × T in any window
 * @param messages requests for tokens and reports sent
 * @param waitMillisPercentile99 99th percentile of the time to a decision, in milliseconds
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
     * Returns the share of the requests that were refused although the ideal bucket admits them.
     *
     * @return the share, from 0 to 1
     */
    public double wronglyRefusedShare() {
        return requests == 0 ? 0 : (double) wronglyRefused / requests;
    }

    /**
     * Returns the share of the requests that were refused.
     *
     * @return the share, from 0 to 1
     */
    public double refusedShare() {
        return requests == 0 ? 0 : (double) refused / requests;
    }

    /**
     * Returns the share of the requests that the ideal bucket refuses.
     *
     * @return the share, from 0 to 1
     */
    public double refusedByReferenceShare() {
        return requests == 0 ? 0 : (double) refusedByReference / requests;
    }
}
