package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.identity.VmName;

/** Decides when a waiting request is refused as over the rate. */
final class RefusalRule {
    /**
     * Shortest wait before a refusal. Tokens lie in fractions and in loans on several VMs; within this time they reach
     * the VM where a request waits, and the rate yields new ones.
     */
    static final Duration MINIMUM_WAIT = Duration.ofMillis(250);

    /** Requests that may always wait, also at a low rate. */
    private static final int MINIMUM_QUEUE_LENGTH = 8;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private RefusalRule() {}

    /**
     * Returns the latest moment since which every reachable holder has answered that it has no tokens, or could not be
     * reached. A question counts from the moment it was sent.
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
     * Tells whether a request is over the rate: every reachable holder has answered, to a question that was sent after
     * the request arrived, that it has no tokens. A request behind as many others as the rate admits within the
     * shortest wait can't be admitted within it and is refused without that wait.
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
