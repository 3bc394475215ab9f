package org.geraniumproxy.core.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.outcome.NotRunReason;

/**
 * Waiting requests and slots in use of one database, independent of connections.
 *
 * @param waiting requests that wait for a slot
 * @param running slots in use by the id of their request
 * @param serviceTime expected slot time of a statement
 */
record SlotQueue(FairQueue waiting, Map<Long, RunningSlot> running, ServiceTime serviceTime) {
    /** A request that was granted a slot, and the resulting queue. */
    record Granted(SlotRequest request, SlotQueue queue) {}

    SlotQueue {
        running = Map.copyOf(running);
    }

    static SlotQueue empty(QueuePolicy policy) {
        return new SlotQueue(FairQueue.empty(policy), Map.of(), ServiceTime.INITIAL);
    }

    /** Returns why a new request cannot be queued. The cost to completion is that of one slot. */
    Optional<NotRunReason> refusalReason(SlotRequest request, double costToCompletion, Instant now) {
        if (waiting.isFull(request.customer())) {
            return Optional.of(NotRunReason.QUEUE_FULL);
        }
        Duration expected = serviceTime.expectedFor(costToCompletion);
        return now.plus(expected).isAfter(request.deadline())
                ? Optional.of(NotRunReason.DEADLINE_UNREACHABLE)
                : Optional.empty();
    }

    SlotQueue add(SlotRequest request) {
        return with(waiting.add(request));
    }

    SlotQueue withoutRequest(long slotRequestId) {
        return with(waiting.withoutRequest(slotRequestId));
    }

    /** Removes the requests whose deadline has passed and adds them to the given list. */
    SlotQueue removeExpired(Instant now, List<SlotRequest> expired) {
        return with(waiting.removeExpired(now, expired));
    }

    /** Releases the slot of a request and adds its slot time to the expected service time. */
    SlotQueue release(long slotRequestId, Instant now) {
        RunningSlot slot = running.get(slotRequestId);
        InvariantViolation.check(slot != null, "a slot must be released exactly once");
        Map<Long, RunningSlot> others = new HashMap<>(running);
        others.remove(slotRequestId);
        ServiceTime updated = serviceTime.withSample(
                Duration.between(slot.grantedAt(), now), slot.request().cost());
        return new SlotQueue(waiting, others, updated);
    }

    /** Grants a free slot to the first request that satisfies a condition. */
    Optional<Granted> grant(Predicate<SlotRequest> condition, int slots, Instant now) {
        if (running.size() >= slots) {
            return Optional.empty();
        }
        return waiting.takeFirst(condition).map(taken -> {
            Map<Long, RunningSlot> extended = new HashMap<>(running);
            extended.put(taken.request().id(), new RunningSlot(taken.request(), now));
            return new Granted(taken.request(), new SlotQueue(taken.queue(), extended, serviceTime));
        });
    }

    private SlotQueue with(FairQueue next) {
        return new SlotQueue(next, running, serviceTime);
    }
}
