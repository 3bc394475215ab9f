package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against dropping a member from the record of its group while only it may hold an acknowledged commit. */
class DepartureCheck_on_Test {
    private static final BackendServerName PRIMARY = BackendServerName.of("db-1");
    private static final BackendServerName SECOND = BackendServerName.of("db-2");
    private static final BackendServerName THIRD = BackendServerName.of("db-3");
    private static final BackendServerName DEPARTED = BackendServerName.of("db-9");

    private Instant now = Instant.EPOCH;
    private DepartureCheck check = DepartureCheck.initial();
    private List<BackendServerName> asked = List.of();
    private int confirming = 1;

    @Test
    void should_drop_a_member_when_a_replica_has_reached_the_position_of_the_primary() {
        timePasses();
        assertThat(asked, containsInAnyOrder(PRIMARY));
        answer(PRIMARY, Optional.of(status(true, 12)));
        assertThat(asked, containsInAnyOrder(SECOND, THIRD));
        answer(SECOND, Optional.of(status(false, 11)));
        assertThat(check.settled(), empty());
        answer(THIRD, Optional.of(status(false, 12)));
        assertThat(check.settled(), is(Set.of(DEPARTED)));
    }

    @Test
    void should_keep_a_member_when_too_few_replicas_have_reached_the_position() {
        confirming = 2;
        timePasses();
        answer(PRIMARY, Optional.of(status(true, 12)));
        answer(SECOND, Optional.of(status(false, 12)));
        answer(THIRD, Optional.empty());
        assertThat(check.settled(), empty());
    }

    /** Guards against a position of a database that was replaced and lacks newer commits. */
    @Test
    void should_ask_no_replica_when_the_primary_has_stepped_down() {
        timePasses();
        answer(PRIMARY, Optional.of(status(false, 12)));
        assertThat(asked, empty());
    }

    @Test
    void should_begin_the_next_check_after_the_interval() {
        timePasses();
        answer(PRIMARY, Optional.empty());
        timePasses();
        assertThat(asked, empty());
        now = now.plus(DepartureCheck.INTERVAL);
        timePasses();
        assertThat(asked, containsInAnyOrder(PRIMARY));
    }

    @Test
    void should_wait_while_no_primary_serves() {
        apply(new DepartureCheck.Event.TimePassed(Set.of(DEPARTED), Optional.empty()));
        assertThat(asked, empty());
        now = now.plus(Duration.ofMillis(200));
        timePasses();
        assertThat(asked, containsInAnyOrder(PRIMARY));
    }

    private void timePasses() {
        apply(new DepartureCheck.Event.TimePassed(Set.of(DEPARTED), Optional.of(PRIMARY)));
    }

    private void answer(BackendServerName database, Optional<DatabaseStatus> status) {
        apply(new DepartureCheck.Event.StatusRead(database, status));
    }

    private void apply(DepartureCheck.Event event) {
        Transition<DepartureCheck, BackendServerName> transition =
                check.on(event, new DepartureCheck.Replicas(Set.of(SECOND, THIRD), confirming), now);
        check = transition.state();
        asked = transition.effects();
    }

    private static DatabaseStatus status(boolean primary, long position) {
        return new DatabaseStatus(primary, 3, LogPosition.of(3, position), 0);
    }
}
