package org.geraniumproxy.core.pool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.junit.jupiter.api.Test;

/** Guards against exceeded connection limits, unbounded queues and transactions that block each other. */
class PoolState_on_Test {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final CustomerName CUSTOMER = CustomerName.of("troupes");
    private static final VmName SELF = VmName.of("vm-b");
    private static final VmName FAILED_VM = VmName.of("vm-a");
    private static final VmName THIRD = VmName.of("vm-c");
    private static final DatabaseGroup GROUP = new DatabaseGroup(
            GroupName.of("ledger"),
            List.of(new BackendServer(
                    BackendServerName.of("ledger-a"),
                    "127.0.0.1:1",
                    RegionName.of("lima"),
                    FailureDomain.of("lima-1"))),
            2,
            16,
            4);

    private PoolState pool = PoolState.initial(QueuePolicy.standard());
    private ConnectionBudget budget = ConnectionBudget.UNKNOWN;
    private int openConnections;
    private long nextRequestId;

    @Test
    void should_not_exceed_the_connection_limit_while_a_failed_coordinator_holds_connections() {
        // given a standby that gets a transaction every 100 ms, and a failed coordinator with 12 open connections
        int connectionsOfFailedVm = 12;
        for (int step = 0; step < 600; step++) {
            Instant now = START.plusMillis(100L * step);
            if (step > 250 && step % 10 == 0) {
                connectionsOfFailedVm = Math.max(0, connectionsOfFailedVm - 1);
            }
            List<VmName> ranks = step < 100 ? List.of(FAILED_VM, SELF) : List.of(SELF, THIRD);
            budget = budget.observe(SELF, ranks, Optional.of(now), now);

            // when transactions take every connection and release their slots
            PoolView view = view(connectionsOfFailedVm + openConnections, now);
            apply(new PoolEvent.SlotRequested(request(now, false)), view, now);

            // then
            assertThat(connectionsOfFailedVm + openConnections, lessThanOrEqualTo(GROUP.connections()));
            assertThat(openConnections, lessThanOrEqualTo(step < 131 ? 4 : 12));
        }
        assertThat(openConnections, is(12));
    }

    @Test
    void should_serve_a_transaction_with_a_connection_before_requests_that_need_one() {
        // given no connection and a waiting request
        PoolView view = new PoolView(2, 16, 0, Optional.empty());
        apply(new PoolEvent.SlotRequested(request(START, false)), view, START);

        // when
        List<PoolEffect> effects = apply(new PoolEvent.SlotRequested(request(START, true)), view, START);

        // then
        assertThat(effects, contains(instanceOf(PoolEffect.Grant.class)));
    }

    @Test
    void should_refuse_requests_that_would_miss_their_deadline_or_exceed_the_queue_bound() {
        // given as many waiting requests as one customer may have
        PoolView view = new PoolView(2, 16, 0, Optional.empty());
        for (int sent = 0; sent < FairQueue.MAXIMUM_REQUESTS_PER_CUSTOMER; sent++) {
            assertThat(apply(new PoolEvent.SlotRequested(request(START, false)), view, START), is(empty()));
        }

        // when
        List<PoolEffect> overflow = apply(new PoolEvent.SlotRequested(request(START, false)), view, START);
        SlotRequest urgent = new SlotRequest(-1, CustomerName.of("other"), 1, 1, START.plusMillis(4), false);
        List<PoolEffect> unreachable = apply(new PoolEvent.SlotRequested(urgent), view, START);

        // then
        assertThat(reasons(overflow), contains(NotRunReason.QUEUE_FULL));
        assertThat(reasons(unreachable), contains(NotRunReason.DEADLINE_UNREACHABLE));
    }

    private PoolView view(int reported, Instant now) {
        return new PoolView(
                GROUP.slots(),
                GROUP.connections(),
                budget.connections(GROUP),
                Optional.of(new ConnectionReport(now, reported)));
    }

    private SlotRequest request(Instant now, boolean holdsConnection) {
        return new SlotRequest(nextRequestId++, CUSTOMER, 1, 1, now.plusSeconds(10), holdsConnection);
    }

    private List<PoolEffect> apply(PoolEvent event, PoolView view, Instant now) {
        Transition<PoolState, PoolEffect> transition = pool.on(event, view, now);
        pool = transition.state();
        for (PoolEffect effect : transition.effects()) {
            switch (effect) {
                case PoolEffect.Open opening -> {
                    openConnections += opening.count();
                    for (int opened = 0; opened < opening.count(); opened++) {
                        apply(new PoolEvent.ConnectionOpened(), view, now);
                    }
                }
                case PoolEffect.CloseIdle close -> openConnections -= close.count();
                case PoolEffect.Grant grant
                when !grant.request().holdsConnection() ->
                    apply(new PoolEvent.SlotReleased(grant.request().id()), view, now);
                default -> {}
            }
        }
        return transition.effects();
    }

    private static List<NotRunReason> reasons(List<PoolEffect> effects) {
        return effects.stream()
                .map(effect -> ((PoolEffect.Refuse) effect).reason())
                .collect(Collectors.toList());
    }
}
