package org.geraniumproxy.core.pool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.junit.jupiter.api.Test;

/** Guards against connections that serve a customer other than the one they were opened for. */
class CustomerPool_on_Test {
    private static final CustomerName CUSTOMER = CustomerName.of("troupe");
    private static final CustomerName OTHER_CUSTOMER = CustomerName.of("jury");
    private static final Duration SURPLUS_IDLE_TIMEOUT = Duration.ofMillis(400);

    private Instant now = Instant.EPOCH;
    private CustomerPoolView view = CustomerPoolView.of(2, 2, 1, SURPLUS_IDLE_TIMEOUT);
    private CustomerPool pool = CustomerPool.initial();
    private List<CustomerPoolEffect> effects = List.of();

    @Test
    void should_open_a_connection_for_a_waiting_customer() {
        on(new CustomerPoolEvent.SlotRequested(request(1, CUSTOMER)));
        assertThat(effects, contains(new CustomerPoolEffect.Open(CUSTOMER)));
        on(new CustomerPoolEvent.ConnectionOpened(CUSTOMER));
        assertThat(effects, contains(new CustomerPoolEffect.Grant(request(1, CUSTOMER))));
    }

    @Test
    void should_not_use_an_idle_connection_of_another_customer() {
        addIdleConnection(CUSTOMER);
        on(new CustomerPoolEvent.SlotRequested(request(2, OTHER_CUSTOMER)));
        assertThat(effects, contains(new CustomerPoolEffect.Open(OTHER_CUSTOMER)));
    }

    @Test
    void should_replace_the_least_recently_used_connection_at_the_limit() {
        view = CustomerPoolView.of(2, 1, 1, SURPLUS_IDLE_TIMEOUT);
        addIdleConnection(CUSTOMER);
        view = new CustomerPoolView(2, 1, 1, SURPLUS_IDLE_TIMEOUT);
        on(new CustomerPoolEvent.SlotRequested(request(2, OTHER_CUSTOMER)));
        assertThat(
                effects,
                contains(new CustomerPoolEffect.CloseIdle(CUSTOMER), new CustomerPoolEffect.Open(OTHER_CUSTOMER)));
    }

    @Test
    void should_wait_when_all_connections_are_in_use() {
        view = new CustomerPoolView(2, 1, 1, SURPLUS_IDLE_TIMEOUT);
        on(new CustomerPoolEvent.SlotRequested(request(1, CUSTOMER)));
        on(new CustomerPoolEvent.ConnectionOpened(CUSTOMER));
        on(new CustomerPoolEvent.SlotRequested(request(2, OTHER_CUSTOMER)));
        assertThat(effects, is(empty()));
    }

    @Test
    void should_delay_opening_after_the_database_reached_its_limit() {
        on(new CustomerPoolEvent.SlotRequested(request(1, CUSTOMER)));
        on(new CustomerPoolEvent.OpeningFailed(CUSTOMER, true));
        assertThat(effects, is(empty()));
        now = now.plus(CustomerPool.CONNECTION_LIMIT_DELAY);
        on(new CustomerPoolEvent.TimePassed());
        assertThat(effects, contains(new CustomerPoolEffect.Open(CUSTOMER)));
    }

    @Test
    void should_close_idle_connections_beyond_the_share() {
        view = new CustomerPoolView(2, 2, 1, SURPLUS_IDLE_TIMEOUT);
        addIdleConnection(CUSTOMER);
        addIdleConnection(OTHER_CUSTOMER);
        now = now.plus(SURPLUS_IDLE_TIMEOUT).plusMillis(1);
        on(new CustomerPoolEvent.TimePassed());
        assertThat(effects, contains(new CustomerPoolEffect.CloseIdle(CUSTOMER)));
    }

    /** Guards against idle connections of many VMs that together reach the limit of the database. */
    @Test
    void should_keep_no_connection_idle_when_each_vm_has_a_share_of_one() {
        view = CustomerPoolView.of(2, 44, 38, SURPLUS_IDLE_TIMEOUT);
        addIdleConnection(CUSTOMER);
        now = now.plus(SURPLUS_IDLE_TIMEOUT).plusMillis(1);
        on(new CustomerPoolEvent.TimePassed());
        assertThat(effects, contains(new CustomerPoolEffect.CloseIdle(CUSTOMER)));
    }

    @Test
    void should_drop_a_cancelled_request() {
        on(new CustomerPoolEvent.SlotRequested(request(1, CUSTOMER)));
        on(new CustomerPoolEvent.RequestsCancelled(List.of(1L)));
        on(new CustomerPoolEvent.ConnectionOpened(CUSTOMER));
        assertThat(effects, is(empty()));
    }

    private void addIdleConnection(CustomerName customer) {
        on(new CustomerPoolEvent.SlotRequested(request(100, customer)));
        on(new CustomerPoolEvent.ConnectionOpened(customer));
        on(new CustomerPoolEvent.SlotReleased(100));
        on(new CustomerPoolEvent.ConnectionReturned(customer, true));
        now = now.plusMillis(1);
    }

    private void on(CustomerPoolEvent event) {
        Transition<CustomerPool, CustomerPoolEffect> transition = pool.on(event, view, now);
        pool = transition.state();
        effects = transition.effects();
    }

    private SlotRequest request(long id, CustomerName customer) {
        return new SlotRequest(id, customer, 1, 1, Instant.EPOCH.plusSeconds(10), false);
    }
}
