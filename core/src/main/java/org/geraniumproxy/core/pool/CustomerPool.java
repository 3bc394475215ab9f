package org.geraniumproxy.core.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.outcome.NotRunReason;

/**
 * Slots, connections and waiting requests of one database on one VM. A connection serves only the customer for which it
 * was opened. If the connection limit is reached, the least recently used idle connection of another customer is closed
 * in favor of a customer that waits.
 *
 * @param queue waiting requests and requests with a slot
 * @param connections number of connections by customer
 * @param blockedUntil time until which no connection is opened after a failure
 */
public record CustomerPool(SlotQueue queue, CustomerConnections connections, Instant blockedUntil) {
    /** Delay after the database refused a connection at its limit; other VMs close surplus idle ones meanwhile. */
    static final Duration CONNECTION_LIMIT_DELAY = Duration.ofMillis(30);

    /** Delay after a connection could not be opened for another reason. */
    static final Duration OPEN_RETRY_DELAY = Duration.ofMillis(100);

    /**
     * Creates a pool without connections.
     *
     * @return the pool
     */
    public static CustomerPool initial() {
        return new CustomerPool(SlotQueue.empty(QueuePolicy.standard()), CustomerConnections.NONE, Instant.MIN);
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param view capacity of the database
     * @param now the current time
     * @return the next state and the effects to carry out
     */
    public Transition<CustomerPool, CustomerPoolEffect> on(
            CustomerPoolEvent event, CustomerPoolView view, Instant now) {
        List<CustomerPoolEffect> effects = new ArrayList<>();
        CustomerPool next = apply(event, view, now, effects)
                .refuseExpired(now, effects)
                .grantSlots(view, now, effects)
                .openNeededConnections(view, now, effects)
                .closeSurplusConnections(view, now, effects);
        return Transition.to(next, effects);
    }

    /**
     * Returns the number of statements that wait or run.
     *
     * @return number of waiting requests and slots in use
     */
    public int outstandingStatements() {
        return queue.waiting().size() + queue.running().size();
    }

    /**
     * Returns the load of the database, as far as its statements pass this pool.
     *
     * @return slots in use, waiting requests and service time
     */
    public PoolLoad load() {
        return new PoolLoad(
                queue.running().size(),
                queue.waiting().size(),
                queue.serviceTime().expected());
    }

    /**
     * Returns the customers that have an idle connection.
     *
     * @return names of the customers
     */
    public Set<CustomerName> customersWithIdleConnections() {
        return connections.idle().keySet();
    }

    private CustomerPool apply(
            CustomerPoolEvent event, CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        return switch (event) {
            case CustomerPoolEvent.SlotRequested requested -> enqueue(requested.request(), view, now, effects);
            case CustomerPoolEvent.RequestsCancelled cancelled -> cancel(cancelled.slotRequestIds());
            case CustomerPoolEvent.SlotReleased released -> with(queue.release(released.slotRequestId(), now));
            case CustomerPoolEvent.ConnectionReturned returned ->
                with(connections.release(returned.customer(), returned.reusable(), now));
            case CustomerPoolEvent.ConnectionOpened opened -> with(connections.opened(opened.customer(), now));
            case CustomerPoolEvent.OpeningFailed failed -> openingFailed(failed, now, effects);
            case CustomerPoolEvent.IdleConnectionsLost lost -> removeIdle(lost.customers());
            case CustomerPoolEvent.TimePassed _ -> this;
        };
    }

    private CustomerPool cancel(List<Long> slotRequestIds) {
        SlotQueue next = queue;
        for (long slotRequestId : slotRequestIds) {
            next = next.withoutRequest(slotRequestId);
        }
        return with(next);
    }

    private CustomerPool removeIdle(List<CustomerName> customers) {
        CustomerConnections next = connections;
        for (CustomerName customer : customers) {
            next = next.removeIdle(customer);
        }
        return with(next);
    }

    private CustomerPool openingFailed(
            CustomerPoolEvent.OpeningFailed failed, Instant now, List<CustomerPoolEffect> effects) {
        CustomerConnections next = connections.openingFailed(failed.customer());
        Duration delay = failed.connectionLimitReached() ? CONNECTION_LIMIT_DELAY : OPEN_RETRY_DELAY;
        Optional<CustomerName> evicted =
                failed.connectionLimitReached() ? next.leastRecentlyUsed(countWaitingByCustomer()) : Optional.empty();
        if (evicted.isPresent()) {
            effects.add(new CustomerPoolEffect.CloseIdle(evicted.get()));
            next = next.removeIdle(evicted.get());
        }
        return new CustomerPool(queue, next, now.plus(delay));
    }

    private CustomerPool enqueue(
            SlotRequest request, CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        double costToCompletion = queue.waiting().costAheadOf(request) / view.slots() + request.cost();
        Optional<NotRunReason> refusal = queue.refusalReason(request, costToCompletion, now);
        if (refusal.isPresent()) {
            effects.add(new CustomerPoolEffect.Refuse(request, refusal.get()));
            return this;
        }
        return with(queue.add(request));
    }

    private CustomerPool refuseExpired(Instant now, List<CustomerPoolEffect> effects) {
        List<SlotRequest> expired = new ArrayList<>();
        SlotQueue remaining = queue.removeExpired(now, expired);
        expired.forEach(
                request -> effects.add(new CustomerPoolEffect.Refuse(request, NotRunReason.DEADLINE_UNREACHABLE)));
        return with(remaining);
    }

    private CustomerPool grantSlots(CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        CustomerPool state = this;
        Optional<SlotQueue.Granted> granted = state.nextGrant(view, now);
        while (granted.isPresent()) {
            SlotRequest request = granted.get().request();
            CustomerConnections used =
                    request.holdsConnection() ? state.connections : state.connections.acquire(request.customer(), now);
            state = new CustomerPool(granted.get().queue(), used, state.blockedUntil);
            effects.add(new CustomerPoolEffect.Grant(request));
            granted = state.nextGrant(view, now);
        }
        return state;
    }

    private Optional<SlotQueue.Granted> nextGrant(CustomerPoolView view, Instant now) {
        Optional<SlotQueue.Granted> transaction = view.transactionsFirst()
                ? queue.grant(SlotRequest::holdsConnection, view.slots(), now)
                : Optional.empty();
        if (transaction.isPresent()) {
            return transaction;
        }
        return queue.grant(
                request -> request.holdsConnection() || connections.idleOf(request.customer()) > 0, view.slots(), now);
    }

    /** Opens connections for waiting customers, and closes idle ones of other customers if the limit is reached. */
    private CustomerPool openNeededConnections(CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        if (now.isBefore(blockedUntil)) {
            return this;
        }
        CustomerConnections next = connections;
        Map<CustomerName, Integer> waitingCustomers = countWaitingByCustomer();
        for (Map.Entry<CustomerName, Integer> waiting : waitingCustomers.entrySet()) {
            CustomerName customer = waiting.getKey();
            int missing = Math.min(waiting.getValue(), view.slots()) - next.idleOf(customer) - next.openingOf(customer);
            while (missing > 0 && next.openingTotal() < Math.max(2, view.slots())) {
                if (next.total() >= view.connectionLimit()) {
                    Optional<CustomerName> evicted = next.leastRecentlyUsed(waitingCustomers);
                    if (evicted.isEmpty()) {
                        return with(next);
                    }
                    effects.add(new CustomerPoolEffect.CloseIdle(evicted.get()));
                    next = next.removeIdle(evicted.get());
                }
                effects.add(new CustomerPoolEffect.Open(customer));
                next = next.startOpening(customer);
                missing--;
            }
        }
        return with(next);
    }

    /** Closes connections beyond the VM's share that have been idle for {@link CustomerPoolView#surplusIdleTimeout}. */
    private CustomerPool closeSurplusConnections(CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        CustomerConnections next = connections;
        while (next.total() > view.connectionShare()) {
            Optional<CustomerName> surplus = next.leastRecentlyUsedBefore(now.minus(view.surplusIdleTimeout()));
            if (surplus.isEmpty()) {
                break;
            }
            effects.add(new CustomerPoolEffect.CloseIdle(surplus.get()));
            next = next.removeIdle(surplus.get());
        }
        return with(next);
    }

    private Map<CustomerName, Integer> countWaitingByCustomer() {
        Map<CustomerName, Integer> counts = new HashMap<>();
        queue.waiting().waiting().forEach((customer, requests) -> {
            int count = (int) requests.stream()
                    .filter(queued -> !queued.request().holdsConnection())
                    .count();
            if (count > 0) {
                counts.put(customer, count);
            }
        });
        return counts;
    }

    private CustomerPool with(SlotQueue next) {
        return new CustomerPool(next, connections, blockedUntil);
    }

    private CustomerPool with(CustomerConnections next) {
        return new CustomerPool(queue, next, blockedUntil);
    }
}
