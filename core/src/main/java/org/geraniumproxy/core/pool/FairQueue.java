package org.geraniumproxy.core.pool;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * Waiting requests of one database in the order of a policy. Weighted fair queuing gives a request the virtual finish
 * time max(virtual time, last finish time of its customer) + cost / weight and serves the lowest finish time first; the
 * virtual time is the finish time of the request served last. A customer that sends more than its share therefore
 * delays only its own requests.
 *
 * @param policy order of the requests
 * @param waiting waiting requests by customer, in order of arrival
 * @param lastVirtualFinish last virtual finish time of each customer, as far as it is ahead of the virtual time
 * @param virtualTime virtual finish time of the request served last
 * @param nextSequence sequence number of the next request
 */
record FairQueue(
        QueuePolicy policy,
        Map<CustomerName, List<QueuedRequest>> waiting,
        Map<CustomerName, Double> lastVirtualFinish,
        double virtualTime,
        long nextSequence) {
    /** Maximum number of waiting requests of one customer. */
    static final int MAXIMUM_REQUESTS_PER_CUSTOMER = 256;

    /** Maximum number of waiting requests of all customers under {@link QueuePolicy.FirstComeFirstServed}. */
    static final int MAXIMUM_REQUESTS_FIRST_COME_FIRST_SERVED = 256;

    /** A request taken from the queue, and the remaining queue. */
    record Taken(SlotRequest request, FairQueue queue) {}

    FairQueue {
        waiting = Map.copyOf(waiting);
        lastVirtualFinish = Map.copyOf(lastVirtualFinish);
    }

    static FairQueue empty(QueuePolicy policy) {
        return new FairQueue(policy, Map.of(), Map.of(), 0, 0);
    }

    /** First come, first served does not distinguish customers, so one bound applies to all of them together. */
    boolean isFull(CustomerName customer) {
        return switch (policy) {
            case QueuePolicy.WeightedFair _ ->
                waiting.getOrDefault(customer, List.of()).size() >= MAXIMUM_REQUESTS_PER_CUSTOMER;
            case QueuePolicy.FirstComeFirstServed _ -> size() >= MAXIMUM_REQUESTS_FIRST_COME_FIRST_SERVED;
        };
    }

    int size() {
        int total = 0;
        for (List<QueuedRequest> requests : waiting.values()) {
            total += requests.size();
        }
        return total;
    }

    FairQueue add(SlotRequest request) {
        InvariantViolation.check(!isFull(request.customer()), "the queue must not exceed its bound");
        double finish = virtualFinishOf(request);
        Map<CustomerName, List<QueuedRequest>> extended = new HashMap<>(waiting);
        QueuedRequest queued = new QueuedRequest(request, finish, nextSequence);
        extended.merge(
                request.customer(),
                List.of(queued),
                (present, added) ->
                        Stream.concat(present.stream(), added.stream()).toList());
        Map<CustomerName, Double> finishes = new HashMap<>(lastVirtualFinish);
        finishes.put(request.customer(), finish);
        return new FairQueue(policy, extended, finishes, virtualTime, nextSequence + 1);
    }

    /** Returns the total cost of the waiting requests that are served before a new request. */
    double costAheadOf(SlotRequest request) {
        QueuedRequest added = new QueuedRequest(request, virtualFinishOf(request), nextSequence);
        Comparator<QueuedRequest> order = order();
        double cost = 0;
        for (List<QueuedRequest> requests : waiting.values()) {
            for (QueuedRequest other : requests) {
                if (order.compare(other, added) > 0) {
                    break;
                }
                cost += other.request().cost();
            }
        }
        return cost;
    }

    /** Takes the first request that satisfies a condition. */
    Optional<Taken> takeFirst(Predicate<SlotRequest> condition) {
        return waiting.values().stream()
                .flatMap(requests ->
                        requests.stream().filter(queued -> condition.test(queued.request())).findFirst().stream())
                .min(order())
                .map(first -> new Taken(first.request(), without(first)));
    }

    /** Removes the requests whose deadline has passed and adds them to the given list. */
    FairQueue removeExpired(Instant now, List<SlotRequest> expired) {
        if (!hasExpired(now)) {
            return this;
        }
        Map<CustomerName, List<QueuedRequest>> remaining = new HashMap<>();
        waiting.forEach((customer, requests) -> {
            List<QueuedRequest> remainingRequests = new ArrayList<>();
            for (QueuedRequest queued : requests) {
                if (now.isBefore(queued.request().deadline())) {
                    remainingRequests.add(queued);
                } else {
                    expired.add(queued.request());
                }
            }
            if (!remainingRequests.isEmpty()) {
                remaining.put(customer, remainingRequests);
            }
        });
        return new FairQueue(policy, remaining, lastVirtualFinish, virtualTime, nextSequence);
    }

    /** Removes a request, if it is waiting. */
    FairQueue withoutRequest(long slotRequestId) {
        for (List<QueuedRequest> requests : waiting.values()) {
            for (QueuedRequest queued : requests) {
                if (queued.request().id() == slotRequestId) {
                    return remove(queued, virtualTime);
                }
            }
        }
        return this;
    }

    private boolean hasExpired(Instant now) {
        for (List<QueuedRequest> requests : waiting.values()) {
            for (QueuedRequest queued : requests) {
                if (!now.isBefore(queued.request().deadline())) {
                    return true;
                }
            }
        }
        return false;
    }

    private FairQueue without(QueuedRequest first) {
        return remove(first, Math.max(virtualTime, first.virtualFinish()));
    }

    private FairQueue remove(QueuedRequest removed, double nextVirtualTime) {
        CustomerName customer = removed.request().customer();
        Map<CustomerName, List<QueuedRequest>> remaining = new HashMap<>(waiting);
        List<QueuedRequest> others = waiting.get(customer).stream()
                .filter(other -> other.sequence() != removed.sequence())
                .toList();
        if (others.isEmpty()) {
            remaining.remove(customer);
        } else {
            remaining.put(customer, others);
        }
        Map<CustomerName, Double> finishes = new HashMap<>(lastVirtualFinish);
        finishes.values().removeIf(finish -> finish <= nextVirtualTime);
        return new FairQueue(policy, remaining, finishes, nextVirtualTime, nextSequence);
    }

    private double virtualFinishOf(SlotRequest request) {
        double start = Math.max(virtualTime, lastVirtualFinish.getOrDefault(request.customer(), virtualTime));
        return start + request.cost() / request.weight();
    }

    private Comparator<QueuedRequest> order() {
        Comparator<QueuedRequest> byArrival = Comparator.comparingLong(QueuedRequest::sequence);
        return switch (policy) {
            case QueuePolicy.WeightedFair _ ->
                Comparator.comparingDouble(QueuedRequest::virtualFinish).thenComparing(byArrival);
            case QueuePolicy.FirstComeFirstServed _ -> byArrival;
        };
    }
}
