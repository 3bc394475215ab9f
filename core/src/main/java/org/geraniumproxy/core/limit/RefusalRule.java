package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.identity.VmName;

/** Decides when a waiting request is refused because it exceeds the rate. */
final class RefusalRule {
    /**
     * Minimum wait before a refusal. Tokens are spread over several VMs as fractions and loans; within this time they
     * can reach the VM where a request waits, and new ones accrue.
     */
    static final Duration MINIMUM_WAIT = Duration.ofMillis(250);

    /** Number of requests that may wait even at a low rate. */
    private static final int MINIMUM_QUEUE_LENGTH = 8;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private RefusalRule() {}

    /**
     * Returns the time since which every reachable holder is known to be empty or unreachable. An answer counts from
     * when its request was sent.
     */
    static Instant allEmptySince(BorrowerState borrower, LimitView view, Instant now) {
        Instant earliest = now;
        for (VmName holder : view.reachable()) {
            Instant since = borrower.emptySince(holder);
            earliest = since.isBefore(earliest) ? since : earliest;
        }
        return earliest;
    }

    /**
     * Tells whether a request exceeds the rate: every reachable holder was asked after the request arrived and had no
     * tokens. A request behind as many others as the rate admits within the minimum wait cannot be admitted in that
     * time and is refused without waiting.
     */
    static boolean isOverRate(
            WaitingRequest request, int requestsAhead, Instant allEmptySince, LimitView view, Instant now) {
        if (request.arrivedAt().isAfter(allEmptySince)) {
            return false;
        }
        boolean waitedLongEnough = !now.isBefore(request.arrivedAt().plus(MINIMUM_WAIT));
        return waitedLongEnough || requestsAhead >= maximumQueueLength(view);
    }

    private static int maximumQueueLength(LimitView view) {
        double admittedWithinWait = view.ratePerSecond() * MINIMUM_WAIT.toNanos() / NANOSECONDS_PER_SECOND;
        return (int) Math.max(MINIMUM_QUEUE_LENGTH, Math.ceil(admittedWithinWait));
    }
}
