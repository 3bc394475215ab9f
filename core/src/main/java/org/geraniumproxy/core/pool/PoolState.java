package org.geraniumproxy.core.pool;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.outcome.NotRunReason;

/**
 * Slots, connections and waiting requests of one database on one VM. A slot permits one running statement. A
 * transaction keeps its connection but releases the slot between its statements.
 *
 * @param queue waiting requests and requests with a slot
 * @param connections number of connections of this VM by state
 */
public record PoolState(SlotQueue queue, ConnectionCounts connections) {
    /**
     * Creates a pool without connections.
     *
     * @param policy order of the waiting requests
     * @return the pool
     */
    public static PoolState initial(QueuePolicy policy) {
        return new PoolState(SlotQueue.empty(policy), ConnectionCounts.NONE);
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param view capacity of the database
     * @param now the current time
     * @return the next state and the effects to carry out
     */
    public Transition<PoolState, PoolEffect> on(PoolEvent event, PoolView view, Instant now) {
        List<PoolEffect> effects = new ArrayList<>();
        PoolState next = apply(event, view, now, effects)
                .refuseExpired(now, effects)
                .grantSlots(view, now, effects)
                .closeSurplusConnections(view, effects)
                .openNeededConnections(view, now, effects);
        InvariantViolation.check(
                next.connections.total() <= Math.max(view.connectionShare(), connections.total()),
                "a VM must not open connections beyond its share");
        return Transition.to(next, effects);
    }

    /**
     * Returns the number of requests that wait for a slot.
     *
     * @return number of waiting requests
     */
    public int waitingRequests() {
        return queue.waiting().size();
    }

    /**
     * Returns the number of slots in use.
     *
     * @return number of running statements
     */
    public int usedSlots() {
        return queue.running().size();
    }

    /**
     * Returns the number of connections of this VM.
     *
     * @return number of idle connections, connections in use and connections being opened
     */
    public int totalConnections() {
        return connections.total();
    }

    private PoolState apply(PoolEvent event, PoolView view, Instant now, List<PoolEffect> effects) {
        return switch (event) {
            case PoolEvent.SlotRequested requested -> enqueue(requested.request(), view, now, effects);
            case PoolEvent.SlotReleased released -> with(queue.release(released.slotRequestId(), now));
            case PoolEvent.ConnectionReturned returned -> with(connections.release(returned.reusable()));
            case PoolEvent.ConnectionOpened _ -> with(connections.opened(now, view));
            case PoolEvent.OpeningFailed _ -> with(connections.openingFailed(now));
            case PoolEvent.IdleConnectionsLost lost -> with(connections.closeIdle(lost.count()));
            case PoolEvent.TimePassed _ -> this;
        };
    }

    private PoolState enqueue(SlotRequest request, PoolView view, Instant now, List<PoolEffect> effects) {
        Optional<NotRunReason> refusal = queue.refusalReason(request, costToCompletion(request, view), now);
        if (refusal.isPresent()) {
            effects.add(new PoolEffect.Refuse(request, refusal.get()));
            return this;
        }
        return with(queue.add(request));
    }

    /**
     * Cost until completion: the cost ahead and half a running statement if all slots are in use, plus its own cost.
     */
    private double costToCompletion(SlotRequest request, PoolView view) {
        double costAhead = queue.waiting().costAheadOf(request);
        boolean busy = usedSlots() >= view.slots();
        double costInProgress = busy ? 0.5 : 0;
        return (costAhead + costInProgress) / view.slots() + request.cost();
    }

    private PoolState refuseExpired(Instant now, List<PoolEffect> effects) {
        List<SlotRequest> expired = new ArrayList<>();
        SlotQueue remaining = queue.removeExpired(now, expired);
        expired.forEach(request -> effects.add(new PoolEffect.Refuse(request, NotRunReason.DEADLINE_UNREACHABLE)));
        return with(remaining);
    }

    /** A transaction that holds a connection overtakes requests that need one, so that its connection becomes free. */
    private PoolState grantSlots(PoolView view, Instant now, List<PoolEffect> effects) {
        PoolState state = this;
        Optional<SlotQueue.Granted> granted = state.nextGrant(view, now);
        while (granted.isPresent()) {
            SlotRequest request = granted.get().request();
            ConnectionCounts used = request.holdsConnection() ? state.connections : state.connections.acquire();
            state = new PoolState(granted.get().queue(), used);
            effects.add(new PoolEffect.Grant(request));
            InvariantViolation.check(state.usedSlots() <= view.slots(), "running statements must not exceed the slots");
            granted = state.nextGrant(view, now);
        }
        return state;
    }

    private Optional<SlotQueue.Granted> nextGrant(PoolView view, Instant now) {
        boolean idle = connections.idle() > 0;
        return queue.grant(request -> idle || request.holdsConnection(), view.slots(), now);
    }

    private PoolState closeSurplusConnections(PoolView view, List<PoolEffect> effects) {
        int beyondShare = connections.total() - view.connectionShare();
        int beyondSlots = connections.idle() - view.slots();
        int surplus = Math.min(connections.idle(), Math.max(0, Math.max(beyondShare, beyondSlots)));
        if (surplus == 0) {
            return this;
        }
        effects.add(new PoolEffect.CloseIdle(surplus));
        return with(connections.closeIdle(surplus));
    }

    /** Keeps one connection per slot open, and opens more while transactions hold them and requests wait. */
    private PoolState openNeededConnections(PoolView view, Instant now, List<PoolEffect> effects) {
        int missingForSlots = view.slots() - connections.total();
        int missingForWaiting =
                Math.min(waitingRequests(), view.slots() - usedSlots()) - connections.idle() - connections.opening();
        int count = Math.min(Math.max(missingForSlots, missingForWaiting), connections.remainingCapacity(view, now));
        if (count <= 0) {
            return this;
        }
        effects.add(new PoolEffect.Open(count));
        return with(connections.startOpening(count));
    }

    private PoolState with(SlotQueue next) {
        return new PoolState(next, connections);
    }

    private PoolState with(ConnectionCounts next) {
        return new PoolState(queue, next);
    }
}
