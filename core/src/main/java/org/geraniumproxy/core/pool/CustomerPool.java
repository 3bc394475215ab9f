package org.geraniumproxy.core.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.outcome.NotRunReason;

/**
 * Slots, connections and waiting requests of one database on one VM, where a connection serves the customer for whom it
 * was opened. A customer without an idle connection takes the place of the connection that was idle longest.
 *
 * @param queue waiting requests
 * @param running slots in use by number of their request
 * @param connections connections by customer
 * @param serviceTime expected time of a statement
 * @param blockedUntil moment until which no connection is opened after a failure
 */
public record CustomerPool(
        FairQueue queue,
        Map<Long, RunningSlot> running,
        CustomerConnections connections,
        ServiceTime serviceTime,
        Instant blockedUntil) {
    /** Pause after the database had its most connections: other VMs give idle ones back within this time. */
    static final Duration FULL_PAUSE = Duration.ofMillis(30);

    /** Pause after a connection could not be opened for another reason. */
    static final Duration FAILURE_PAUSE = Duration.ofMillis(100);

    /** Copies the map. */
    public CustomerPool {
        running = Map.copyOf(running);
    }

    /**
     * Returns the state of a database without connections.
     *
     * @return the state
     */
    public static CustomerPool initial() {
        return new CustomerPool(
                FairQueue.empty(QueuePolicy.standard()),
                Map.of(),
                CustomerConnections.NONE,
                ServiceTime.INITIAL,
                Instant.MIN);
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param view what the VM knows about the database
     * @param now the present moment
     * @return the next state and its effects
     */
    public Transition<CustomerPool, CustomerPoolEffect> on(
            CustomerPoolEvent event, CustomerPoolView view, Instant now) {
        List<CustomerPoolEffect> effects = new ArrayList<>();
        CustomerPool next = apply(event, view, now, effects)
                .refuseExpired(now, effects)
                .grant(view, now, effects)
                .openMissing(view, now, effects)
                .closeSurplus(view, now, effects);
        return Transition.to(next, effects);
    }

    /**
     * Returns the statements that wait or run.
     *
     * @return their number
     */
    public int outstanding() {
        return queue.size() + running.size();
    }

    /**
     * Returns the customers with an idle connection.
     *
     * @return their names
     */
    public Set<CustomerName> idleCustomers() {
        return connections.idle().keySet();
    }

    private CustomerPool apply(
            CustomerPoolEvent event, CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        return switch (event) {
            case CustomerPoolEvent.SlotRequested requested -> enqueue(requested.request(), view, now, effects);
            case CustomerPoolEvent.RequestWithdrawn withdrawn -> with(queue.withoutRequest(withdrawn.number()));
            case CustomerPoolEvent.SlotReleased released -> release(released.number(), now);
            case CustomerPoolEvent.ConnectionReturned returned ->
                with(connections.giveBack(returned.customer(), returned.clean(), now));
            case CustomerPoolEvent.ConnectionOpened opened -> with(connections.opened(opened.customer(), now));
            case CustomerPoolEvent.OpeningFailed failed -> openingFailed(failed, now, effects);
            case CustomerPoolEvent.IdleConnectionLost lost -> with(connections.loseIdle(lost.customer()));
            case CustomerPoolEvent.TimePassed _ -> this;
        };
    }

    private CustomerPool openingFailed(
            CustomerPoolEvent.OpeningFailed failed, Instant now, List<CustomerPoolEffect> effects) {
        CustomerConnections next = connections.failed(failed.customer());
        Duration pause = failed.full() ? FULL_PAUSE : FAILURE_PAUSE;
        Optional<CustomerName> surplus = failed.full() ? next.idleLongest(waitingCustomers()) : Optional.empty();
        if (surplus.isPresent()) {
            effects.add(new CustomerPoolEffect.CloseIdle(surplus.get()));
            next = next.loseIdle(surplus.get());
        }
        return new CustomerPool(queue, running, next, serviceTime, now.plus(pause));
    }

    private CustomerPool enqueue(
            SlotRequest request, CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        if (queue.isFull(request.customer())) {
            effects.add(new CustomerPoolEffect.Refuse(request, NotRunReason.QUEUE_FULL));
            return this;
        }
        if (now.plus(expectedTime(request, view)).isAfter(request.deadline())) {
            effects.add(new CustomerPoolEffect.Refuse(request, NotRunReason.DEADLINE_UNREACHABLE));
            return this;
        }
        return with(queue.add(request));
    }

    private Duration expectedTime(SlotRequest request, CustomerPoolView view) {
        return serviceTime.of(queue.costAheadOf(request) / view.slots() + request.cost());
    }

    private CustomerPool release(long number, Instant now) {
        RunningSlot slot = running.get(number);
        InvariantViolation.check(slot != null, "a slot is given back once");
        Map<Long, RunningSlot> others = new HashMap<>(running);
        others.remove(number);
        ServiceTime updated = serviceTime.withSample(
                Duration.between(slot.since(), now), slot.request().cost());
        return new CustomerPool(queue, others, connections, updated, blockedUntil);
    }

    private CustomerPool refuseExpired(Instant now, List<CustomerPoolEffect> effects) {
        List<SlotRequest> expired = new ArrayList<>();
        FairQueue remaining = queue.dropExpired(now, expired);
        expired.forEach(
                request -> effects.add(new CustomerPoolEffect.Refuse(request, NotRunReason.DEADLINE_UNREACHABLE)));
        return with(remaining);
    }

    private CustomerPool grant(CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        CustomerPool state = this;
        while (state.running.size() < view.slots()) {
            CustomerConnections present = state.connections;
            Optional<FairQueue.Taken> taken =
                    state.queue.take(request -> request.holdsConnection() || present.idleOf(request.customer()) > 0);
            if (taken.isEmpty()) {
                return state;
            }
            SlotRequest request = taken.get().request();
            Map<Long, RunningSlot> extended = new HashMap<>(state.running);
            extended.put(request.number(), new RunningSlot(request, now));
            CustomerConnections used = request.holdsConnection() ? present : present.hold(request.customer(), now);
            state = new CustomerPool(taken.get().queue(), extended, used, state.serviceTime, state.blockedUntil);
            effects.add(new CustomerPoolEffect.Grant(request));
        }
        return state;
    }

    /** Opens connections for customers that wait without one, in place of idle ones of others if there is no room. */
    private CustomerPool openMissing(CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        if (now.isBefore(blockedUntil)) {
            return this;
        }
        CustomerConnections next = connections;
        Map<CustomerName, Integer> wanted = waitingCustomers();
        for (Map.Entry<CustomerName, Integer> waiting : wanted.entrySet()) {
            CustomerName customer = waiting.getKey();
            int missing = Math.min(waiting.getValue(), view.slots()) - next.idleOf(customer) - next.openingOf(customer);
            while (missing > 0 && next.openingTotal() < Math.max(2, view.slots())) {
                if (next.total() >= view.connectionLimit()) {
                    Optional<CustomerName> replaced = next.idleLongest(wanted);
                    if (replaced.isEmpty()) {
                        return with(next);
                    }
                    effects.add(new CustomerPoolEffect.CloseIdle(replaced.get()));
                    next = next.loseIdle(replaced.get());
                }
                effects.add(new CustomerPoolEffect.Open(customer));
                next = next.open(customer);
                missing--;
            }
        }
        return with(next);
    }

    /** Gives connections beyond the VM's equal share back once they have been idle for a while. */
    private CustomerPool closeSurplus(CustomerPoolView view, Instant now, List<CustomerPoolEffect> effects) {
        CustomerConnections next = connections;
        while (next.total() > view.connectionShare()) {
            Optional<CustomerName> surplus = next.idleSince(now.minus(view.surplusIdle()));
            if (surplus.isEmpty()) {
                break;
            }
            effects.add(new CustomerPoolEffect.CloseIdle(surplus.get()));
            next = next.loseIdle(surplus.get());
        }
        return with(next);
    }

    private Map<CustomerName, Integer> waitingCustomers() {
        Map<CustomerName, Integer> customers = new HashMap<>();
        queue.waiting().forEach((customer, requests) -> {
            int count = (int) requests.stream()
                    .filter(queued -> !queued.request().holdsConnection())
                    .count();
            if (count > 0) {
                customers.put(customer, count);
            }
        });
        return customers;
    }

    private CustomerPool with(FairQueue next) {
        return new CustomerPool(next, running, connections, serviceTime, blockedUntil);
    }

    private CustomerPool with(CustomerConnections next) {
        return new CustomerPool(queue, running, next, serviceTime, blockedUntil);
    }
}
