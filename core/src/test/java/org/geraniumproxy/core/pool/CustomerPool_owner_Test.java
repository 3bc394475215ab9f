package org.geraniumproxy.core.pool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.junit.jupiter.api.Test;

/** Guards against a customer that takes the slots of others, and a transaction that waits behind new statements. */
class CustomerPool_owner_Test {
    private static final int SLOTS = 5;
    private static final CustomerPoolView VIEW = CustomerPoolView.ofOwner(SLOTS, 36, Duration.ofMillis(400));
    private static final Instant START = Instant.EPOCH;

    private CustomerPool pool = CustomerPool.initial();
    private Instant now = START;
    private long lastId;
    private final Deque<SlotRequest> granted = new ArrayDeque<>();

    @Test
    void should_give_each_customer_its_share_while_one_sends_eight_times_its_usual_load() {
        List<CustomerName> customers = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            customers.add(CustomerName.of("c" + number));
        }
        Map<CustomerName, Integer> served = new HashMap<>();
        int usual = 1;
        int rounds = 2000;
        for (int round = 0; round < rounds; round++) {
            for (CustomerName customer : customers) {
                int count = customer.value().equals("c0") ? usual * 8 : usual;
                for (int index = 0; index < count; index++) {
                    request(customer, false);
                }
            }
            // The database serves a tenth more than all customers usually send.
            for (int index = 0; index < customers.size() + 1; index++) {
                SlotRequest done = granted.poll();
                if (done != null) {
                    served.merge(done.customer(), 1, Integer::sum);
                    on(new CustomerPoolEvent.SlotReleased(done.id()));
                    on(new CustomerPoolEvent.ConnectionReturned(done.customer(), true));
                }
            }
            now = now.plus(Duration.ofMillis(20));
            assertThat(pool.load().slotsInUse(), lessThanOrEqualTo(2 * SLOTS));
        }
        for (CustomerName customer : customers) {
            assertThat(served.get(customer), greaterThanOrEqualTo(rounds * usual * 95 / 100));
        }
    }

    @Test
    void should_serve_a_transaction_before_other_statements() {
        CustomerName customer = CustomerName.of("c");
        for (int index = 0; index < 2 * SLOTS + 1; index++) {
            request(customer, false);
        }
        assertThat(granted.size(), is(2 * SLOTS));
        long inTransaction = request(customer, true);
        SlotRequest done = granted.poll();
        granted.clear();
        on(new CustomerPoolEvent.SlotReleased(done.id()));
        assertThat(granted.stream().map(SlotRequest::id).toList(), contains(inTransaction));
    }

    @Test
    void should_tell_callers_that_are_refused_together_different_times() {
        PoolLoad load = new PoolLoad(10, 100, Duration.ofMillis(40));
        assertThat(load.retryAfter(SLOTS, 0), is(Duration.ofMillis(880)));
        assertThat(load.retryAfter(SLOTS, 0.5), greaterThan(load.retryAfter(SLOTS, 0.25)));
    }

    private long request(CustomerName customer, boolean holdsConnection) {
        lastId++;
        on(new CustomerPoolEvent.SlotRequested(
                new SlotRequest(lastId, customer, 1, 1, now.plusSeconds(30), holdsConnection)));
        return lastId;
    }

    /** Applies an event, and opens the connections that the pool asks for at once. */
    private void on(CustomerPoolEvent event) {
        Deque<CustomerPoolEvent> events = new ArrayDeque<>(List.of(event));
        while (!events.isEmpty()) {
            Transition<CustomerPool, CustomerPoolEffect> transition = pool.on(events.poll(), VIEW, now);
            pool = transition.state();
            for (CustomerPoolEffect effect : transition.effects()) {
                switch (effect) {
                    case CustomerPoolEffect.Grant grant -> granted.add(grant.request());
                    case CustomerPoolEffect.Open open ->
                        events.add(new CustomerPoolEvent.ConnectionOpened(open.customer()));
                    case CustomerPoolEffect.Refuse _, CustomerPoolEffect.CloseIdle _ -> {}
                }
            }
        }
    }
}
