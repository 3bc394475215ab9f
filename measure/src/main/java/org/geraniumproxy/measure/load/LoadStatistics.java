package org.geraniumproxy.measure.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.geraniumproxy.protocol.NotRunReason;

/**
 * Statistics of a run.
 *
 * @param requests number of requests
 * @param acknowledgedWrites number of acknowledged writes
 * @param unknownOutcomes number of requests with an unknown outcome
 * @param refused number of requests that were not run
 * @param replicaReads number of answered reads that replicas served
 * @param reads number of answered reads
 * @param notRunReasons number of requests that were not run, by reason
 * @param customers statistics by name of the customer
 */
public record LoadStatistics(
        long requests,
        long acknowledgedWrites,
        long unknownOutcomes,
        long refused,
        long replicaReads,
        long reads,
        Map<String, CustomerStatistics> customers,
        Map<NotRunReason, Long> notRunReasons) {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double PERCENTILE = 99;

    /**
     * Statistics of one customer.
     *
     * @param requests number of requests
     * @param answered number of answered requests
     * @param refused number of requests refused because the rate was exceeded
     * @param latencyPercentile99 99th percentile of the latency of answered requests
     */
    public record CustomerStatistics(long requests, long answered, long refused, Duration latencyPercentile99) {
        /**
         * Returns the share of requests that were answered.
         *
         * @return from 0 to 1; 1 if there were no requests
         */
        public double servedShare() {
            return requests == 0 ? 1 : (double) answered / requests;
        }
    }

    /**
     * Computes the statistics of a run.
     *
     * @param records records of all requests of the run
     * @return the statistics
     */
    public static LoadStatistics of(List<RequestRecord> records) {
        Map<String, CustomerStatistics> customers = new TreeMap<>();
        records.stream()
                .collect(Collectors.groupingBy(RequestRecord::customer))
                .forEach((customer, own) -> customers.put(customer, customerStatistics(own)));
        List<CallResult.Answered> reads = records.stream()
                .filter(request -> !request.operation().isWrite())
                .map(RequestRecord::result)
                .filter(CallResult.Answered.class::isInstance)
                .map(CallResult.Answered.class::cast)
                .toList();
        return new LoadStatistics(
                records.size(),
                records.stream().filter(RequestRecord::isAcknowledgedWrite).count(),
                count(records, CallResult.Unknown.class),
                count(records, CallResult.NotRun.class),
                reads.stream().filter(CallResult.Answered::byReplica).count(),
                reads.size(),
                customers,
                notRunReasons(records));
    }

    /**
     * Returns the share of answered reads that replicas served.
     *
     * @return from 0 to 1; 0 if there were no reads
     */
    public double replicaShare() {
        return reads == 0 ? 0 : (double) replicaReads / reads;
    }

    private static CustomerStatistics customerStatistics(List<RequestRecord> records) {
        Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
        records.stream()
                .filter(RequestRecord::isAnswered)
                .forEach(request -> latencies.recordValue(request.latency().toNanos() / 1000));
        return new CustomerStatistics(
                records.size(),
                latencies.getTotalCount(),
                rateRefusals(records),
                Duration.ofNanos(latencies.getValueAtPercentile(PERCENTILE) * 1000));
    }

    private static long rateRefusals(List<RequestRecord> records) {
        return notRunReasons(records).getOrDefault(NotRunReason.RATE_EXCEEDED, 0L);
    }

    private static Map<NotRunReason, Long> notRunReasons(List<RequestRecord> records) {
        return records.stream()
                .map(RequestRecord::result)
                .filter(CallResult.NotRun.class::isInstance)
                .map(CallResult.NotRun.class::cast)
                .collect(Collectors.groupingBy(CallResult.NotRun::reason, TreeMap::new, Collectors.counting()));
    }

    private static long count(List<RequestRecord> records, Class<? extends CallResult> kind) {
        return records.stream()
                .filter(request -> kind.isInstance(request.result()))
                .count();
    }
}
