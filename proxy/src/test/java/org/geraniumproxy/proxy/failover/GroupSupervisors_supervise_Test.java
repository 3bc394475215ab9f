package org.geraniumproxy.proxy.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.proxy.store.StoreKeys;
import org.geraniumproxy.standin.database.DatabaseSettings;
import org.geraniumproxy.standin.runtime.Faults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against effects and events that are lost between the failover decision, the databases and the store: a failed
 * or leaving primary would stay primary, or a write would be confirmed without a majority.
 */
class GroupSupervisors_supervise_Test {
    private static final int REPLICATION_LAG_MILLIS = 20;
    private static final DatabaseSettings LAGGING =
            new DatabaseSettings(64, 256, Duration.ZERO, Duration.ZERO, Duration.ofMillis(REPLICATION_LAG_MILLIS));
    private static final Faults DOWN = new Faults(Duration.ZERO, true, 0, false, Optional.empty(), false);
    private static final Faults LEAVING = new Faults(Duration.ZERO, false, 0, false, Optional.empty(), true);

    private final GroupSupervisionFixture fixture = new GroupSupervisionFixture(LAGGING);

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void should_promote_the_first_primary_and_publish_it() {
        // given
        GroupSupervisors coordinator = fixture.supervise("vm-1");

        // when
        fixture.advance(2_000);

        // then
        BackendServerName primary = fixture.primary("vm-1");
        String stored = fixture.store()
                .get(StoreKeys.group(GroupSupervisionFixture.GROUP))
                .join()
                .value()
                .toStringUtf8();
        assertThat(stored, containsString("primary=" + primary));
        coordinator.close();
    }

    @Test
    void should_confirm_a_write_within_one_replication_delay() {
        // given
        GroupSupervisors coordinator = fixture.supervise("vm-1");
        fixture.advance(2_000);
        LogPosition write = fixture.write(fixture.view("vm-1"), "key");

        // when
        CompletableFuture<Boolean> durable = coordinator.awaitDurable(
                GroupSupervisionFixture.GROUP, write, fixture.now().plusSeconds(1));
        boolean early = durable.isDone();
        fixture.advance(REPLICATION_LAG_MILLIS);

        // then
        assertThat(early, is(false));
        assertThat(durable.getNow(false), is(true));
    }

    @Test
    void should_not_confirm_a_write_while_no_replica_is_reachable() {
        // given
        GroupSupervisors coordinator = fixture.supervise("vm-1");
        fixture.advance(2_000);
        GroupView view = fixture.view("vm-1");
        view.statuses().keySet().stream()
                .filter(name -> !view.primary().equals(Optional.of(name)))
                .forEach(name -> fixture.inject(name, DOWN));
        LogPosition write = fixture.write(view, "key");

        // when
        CompletableFuture<Boolean> durable = coordinator.awaitDurable(
                GroupSupervisionFixture.GROUP, write, fixture.now().plusSeconds(1));
        fixture.advance(1_001);

        // then
        assertThat(durable.getNow(true), is(false));
    }

    @Test
    void should_replace_a_failed_primary_and_keep_the_confirmed_write() {
        // given
        GroupSupervisors coordinator = fixture.supervise("vm-1");
        fixture.advance(2_000);
        BackendServerName failedPrimary = fixture.primary("vm-1");
        LogPosition write = fixture.write(fixture.view("vm-1"), "key");
        CompletableFuture<Boolean> durable = coordinator.awaitDurable(
                GroupSupervisionFixture.GROUP, write, fixture.now().plusSeconds(1));
        fixture.advance(REPLICATION_LAG_MILLIS);

        // when
        fixture.inject(failedPrimary, DOWN);
        Instant failedAt = fixture.now();
        while (fixture.view("vm-1").primary().equals(Optional.of(failedPrimary))
                || fixture.view("vm-1").primary().isEmpty()) {
            fixture.advance(10);
            assertThat(Duration.between(failedAt, fixture.now()).toMillis(), is(lessThanOrEqualTo(12_000L)));
        }

        // then
        assertThat(durable.getNow(false), is(true));
        assertThat(fixture.view("vm-1").term().isAfter(write.term()), is(true));
        assertThat(fixture.write(fixture.view("vm-1"), "next").position(), is(write.position() + 1));
    }

    @Test
    void should_let_the_standby_replace_the_primary_when_the_coordinator_has_stopped() {
        // given
        GroupSupervisors first = fixture.supervise("vm-1");
        GroupSupervisors second = fixture.supervise("vm-0");
        fixture.advance(2_000);
        BackendServerName failedPrimary = fixture.primary("vm-0");

        // when
        first.close();
        fixture.inject(failedPrimary, DOWN);
        fixture.advance(3_000);

        // then
        assertThat(fixture.primary("vm-0"), is(not(failedPrimary)));
        second.close();
    }

    @Test
    void should_move_the_primary_away_from_a_leaving_backend_server() {
        // given
        GroupSupervisors coordinator = fixture.supervise("vm-1");
        GroupSupervisors standby = fixture.supervise("vm-0");
        fixture.advance(2_000);
        BackendServerName leaving = fixture.primary("vm-1");

        // when
        fixture.inject(leaving, LEAVING);
        fixture.advance(3_000);

        // then
        assertThat(fixture.primary("vm-1"), is(not(leaving)));
        coordinator.close();
        standby.close();
    }

    @Test
    void should_keep_the_view_for_requests_in_flight_after_the_rank_moves_to_another_vm() {
        // given
        GroupSupervisors leavingVm = fixture.supervise("vm-1");
        fixture.advance(2_000);

        // when
        fixture.update(leavingVm, Set.of(VmName.of("vm-1")));
        fixture.advance(1_000);
        boolean supervisedBeforeStop = fixture.isSupervisedBy("vm-1");
        fixture.advance((int) GroupSupervisors.STOP_DELAY.toMillis());

        // then
        assertThat(supervisedBeforeStop, is(true));
        assertThat(fixture.isSupervisedBy("vm-1"), is(false));
    }

    @Test
    void should_complete_a_wait_for_a_change_at_its_deadline() {
        // given
        GroupSupervisors coordinator = fixture.supervise("vm-1");

        // when
        CompletableFuture<Void> change = coordinator.awaitChange(
                GroupSupervisionFixture.GROUP, fixture.now().plusMillis(5));
        fixture.advance(5);

        // then
        assertThat(change.isDone(), is(true));
    }
}
