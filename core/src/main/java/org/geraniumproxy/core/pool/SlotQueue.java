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
 * Requests that wait for the slots of one database and those that have one, whatever connections they need.
 *
 * @param waiting waiting requests
 * @param running slots in use by number of their request
 * @param serviceTime expected time of a statement
 */
record SlotQueue(FairQueue waiting, Map<Long, RunningSlot> running, ServiceTime serviceTime) {
    /** A request that got a slot, and the queue afterwards. */
    record Granted(SlotRequest request, SlotQueue queue) {}

    SlotQueue {
        running = Map.copyOf(running);
    }

    static SlotQueue empty(QueuePolicy policy) {
        return new SlotQueue(FairQueue.empty(policy), Map.of(), ServiceTime.INITIAL);
    }

    /** Why a new request cannot wait, given the cost of the work up to its end in units of one slot. */
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

    /** Removes the requests whose deadline has passed and adds them to a list. */
    SlotQueue removeExpired(Instant now, List<SlotRequest> expired) {
        return with(waiting.removeExpired(now, expired));
    }

    /** Takes the slot of a request back and learns from the time that it was used. */
    SlotQueue release(long slotRequestId, Instant now) {
        RunningSlot slot = running.get(slotRequestId);
        InvariantViolation.check(slot != null, "a slot is given back once");
        Map<Long, RunningSlot> others = new HashMap<>(running);
        others.remove(slotRequestId);
        ServiceTime updated = serviceTime.withSample(
                Duration.between(slot.grantedAt(), now), slot.request().cost());
        return new SlotQueue(waiting, others, updated);
    }

    /** Gives a free slot to the first request that a condition allows. */
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
