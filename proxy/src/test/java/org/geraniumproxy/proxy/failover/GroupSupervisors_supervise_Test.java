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

/** Guards the way of effects and events between the decision, the databases and the store. */
class GroupSupervisors_supervise_Test {
    private static final int REPLICATION_LAG_MILLIS = 20;
    private static final DatabaseSettings LAGGING =
            new DatabaseSettings(64, 256, Duration.ZERO, Duration.ZERO, Duration.ofMillis(REPLICATION_LAG_MILLIS));
    private static final Faults DOWN = new Faults(Duration.ZERO, true, 0, false, Optional.empty(), false);
    private static final Faults LEAVING = new Faults(Duration.ZERO, false, 0, false, Optional.empty(), true);

    private final SupervisedGroup group = new SupervisedGroup(LAGGING);

    @AfterEach
    void close() {
        group.close();
    }

    @Test
    void should_promote_the_first_primary_and_publish_it() {
        // given
        GroupSupervisors coordinator = group.supervise("vm-1");

        // when
        group.advance(2_000);

        // then
        BackendServerName primary = group.primary("vm-1");
        String stored = group.store()
                .get(StoreKeys.group(SupervisedGroup.GROUP))
                .join()
                .value()
                .toStringUtf8();
        assertThat(stored, containsString("primary=" + primary));
        coordinator.close();
    }

    @Test
    void should_confirm_a_write_within_one_replication_delay() {
        // given
        GroupSupervisors coordinator = group.supervise("vm-1");
        group.advance(2_000);
        LogPosition write = group.write(group.view("vm-1"), "key");

        // when
        CompletableFuture<Boolean> durable = coordinator.awaitDurable(
                SupervisedGroup.GROUP, write, group.now().plusSeconds(1));
        boolean early = durable.isDone();
        group.advance(REPLICATION_LAG_MILLIS);

        // then
        assertThat(early, is(false));
        assertThat(durable.getNow(false), is(true));
    }

    @Test
    void should_not_confirm_a_write_while_no_replica_is_reachable() {
        // given
        GroupSupervisors coordinator = group.supervise("vm-1");
        group.advance(2_000);
        GroupView view = group.view("vm-1");
        view.statuses().keySet().stream()
                .filter(name -> !view.primary().equals(Optional.of(name)))
                .forEach(name -> group.inject(name, DOWN));
        LogPosition write = group.write(view, "key");

        // when
        CompletableFuture<Boolean> durable = coordinator.awaitDurable(
                SupervisedGroup.GROUP, write, group.now().plusSeconds(1));
        group.advance(1_001);

        // then
        assertThat(durable.getNow(true), is(false));
    }

    @Test
    void should_replace_a_dead_primary_and_keep_the_confirmed_write() {
        // given
        GroupSupervisors coordinator = group.supervise("vm-1");
        group.advance(2_000);
        BackendServerName dead = group.primary("vm-1");
        LogPosition write = group.write(group.view("vm-1"), "key");
        CompletableFuture<Boolean> durable = coordinator.awaitDurable(
                SupervisedGroup.GROUP, write, group.now().plusSeconds(1));
        group.advance(REPLICATION_LAG_MILLIS);

        // when
        group.inject(dead, DOWN);
        Instant diedAt = group.now();
        while (group.view("vm-1").primary().equals(Optional.of(dead))
                || group.view("vm-1").primary().isEmpty()) {
            group.advance(10);
            assertThat(Duration.between(diedAt, group.now()).toMillis(), is(lessThanOrEqualTo(12_000L)));
        }

        // then
        assertThat(durable.getNow(false), is(true));
        assertThat(group.view("vm-1").term().isAfter(write.term()), is(true));
        assertThat(group.write(group.view("vm-1"), "next").position(), is(write.position() + 1));
    }

    @Test
    void should_let_the_standby_replace_the_primary_when_the_coordinator_is_gone() {
        // given
        GroupSupervisors first = group.supervise("vm-1");
        GroupSupervisors second = group.supervise("vm-0");
        group.advance(2_000);
        BackendServerName dead = group.primary("vm-0");

        // when
        first.close();
        group.inject(dead, DOWN);
        group.advance(3_000);

        // then
        assertThat(group.primary("vm-0"), is(not(dead)));
        second.close();
    }

    @Test
    void should_move_the_primary_away_from_a_leaving_backend_server() {
        // given
        GroupSupervisors coordinator = group.supervise("vm-1");
        GroupSupervisors standby = group.supervise("vm-0");
        group.advance(2_000);
        BackendServerName leaving = group.primary("vm-1");

        // when
        group.inject(leaving, LEAVING);
        group.advance(3_000);

        // then
        assertThat(group.primary("vm-1"), is(not(leaving)));
        coordinator.close();
        standby.close();
    }

    @Test
    void should_keep_the_view_for_requests_in_flight_when_the_rank_passes_on() {
        // given
        GroupSupervisors leavingVm = group.supervise("vm-1");
        group.advance(2_000);

        // when
        group.update(leavingVm, Set.of(VmName.of("vm-1")));
        group.advance(1_000);
        boolean whileLingering = group.isSupervisedBy("vm-1");
        group.advance((int) GroupSupervisors.LINGER.toMillis());

        // then
        assertThat(whileLingering, is(true));
        assertThat(group.isSupervisedBy("vm-1"), is(false));
    }

    @Test
    void should_complete_a_wait_for_a_change_at_its_deadline() {
        // given
        GroupSupervisors coordinator = group.supervise("vm-1");

        // when
        CompletableFuture<Void> change =
                coordinator.awaitChange(SupervisedGroup.GROUP, group.now().plusMillis(5));
        group.advance(5);

        // then
        assertThat(change.isDone(), is(true));
    }
}
