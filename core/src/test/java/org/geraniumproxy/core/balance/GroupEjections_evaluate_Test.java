package org.geraniumproxy.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.junit.jupiter.api.Test;

/** Guards against reads at a replica that answers, but slowly or only in part, and against ejection of too many. */
class GroupEjections_evaluate_Test {
    private static final BackendServerName FIRST = BackendServerName.of("first");
    private static final BackendServerName SECOND = BackendServerName.of("second");
    private static final List<BackendServerName> BOTH = List.of(FIRST, SECOND);

    private Instant now = Instant.EPOCH;
    private GroupEjections ejections = GroupEjections.NONE;

    @Test
    void should_eject_a_replica_that_fails_part_of_its_statements_while_the_other_one_is_fine() {
        respond(30, 8, 30, 0);
        assertThat(evaluate(BOTH), is(List.of(EjectionChange.Kind.EJECTED)));
        assertThat(ejections.admittedShare(FIRST, now), is(0.0));
        assertThat(ejections.admittedShare(SECOND, now), is(1.0));
    }

    @Test
    void should_not_eject_when_the_other_replica_fails_as_well() {
        respond(30, 8, 30, 5);
        assertThat(evaluate(BOTH), is(List.of()));
    }

    @Test
    void should_eject_a_slow_replica_on_the_responses_to_other_vms() {
        respond(1, 0, 1, 0);
        ResponseSummary slow = new ResponseSummary(20, 0, Duration.ofMillis(240));
        ResponseSummary fast = new ResponseSummary(20, 0, Duration.ofMillis(30));
        Transition<GroupEjections, EjectionChange> evaluated =
                ejections.evaluate(BOTH, Map.of(FIRST, slow, SECOND, fast), now);
        assertThat(evaluated.effects().getFirst().database(), is(FIRST));
    }

    @Test
    void should_eject_a_replica_that_is_flapping() {
        for (int outage = 0; outage < 3; outage++) {
            respond(30, 2, 30, 0);
            now = now.plusSeconds(3);
        }
        respond(30, 0, 30, 0);
        assertThat(evaluate(BOTH), is(List.of(EjectionChange.Kind.EJECTED)));
    }

    @Test
    void should_never_eject_the_only_replica_nor_more_than_half() {
        respond(30, 8, 30, 0);
        assertThat(evaluate(List.of(FIRST)), is(List.of()));
        assertThat(evaluate(BOTH), is(List.of(EjectionChange.Kind.EJECTED)));
        now = now.plusSeconds(6);
        evaluate(BOTH);
        respond(30, 0, 10, 8);
        assertThat("second replica while the first one ramps up", evaluate(BOTH), is(List.of()));
    }

    @Test
    void should_readmit_gradually_and_eject_for_longer_after_a_relapse() {
        respond(30, 8, 30, 0);
        evaluate(BOTH);
        now = now.plusSeconds(5);
        assertThat(evaluate(BOTH), is(List.of(EjectionChange.Kind.READMITTED)));
        assertThat(ejections.admittedShare(FIRST, now), is(0.05));
        now = now.plusSeconds(5);
        assertThat(ejections.admittedShare(FIRST, now), greaterThan(0.4));
        assertThat(ejections.admittedShare(FIRST, now), lessThan(0.6));
        respond(5, 5, 30, 0);
        assertThat(evaluate(BOTH), is(List.of(EjectionChange.Kind.EJECTED)));
        now = now.plusSeconds(9);
        assertThat(evaluate(BOTH), is(List.of()));
        now = now.plusSeconds(1);
        assertThat(evaluate(BOTH), is(List.of(EjectionChange.Kind.READMITTED)));
        now = now.plusSeconds(10);
        assertThat(evaluate(BOTH), is(List.of(EjectionChange.Kind.RESTORED)));
    }

    private void respond(int firstAnswers, int firstFailures, int secondAnswers, int secondFailures) {
        respond(FIRST, firstAnswers, firstFailures);
        respond(SECOND, secondAnswers, secondFailures);
    }

    private void respond(BackendServerName database, int answers, int failures) {
        for (int number = 0; number < answers; number++) {
            ejections = ejections.answered(database, Duration.ofMillis(30), now);
        }
        for (int number = 0; number < failures; number++) {
            ejections = ejections.failed(database, now);
        }
    }

    private List<EjectionChange.Kind> evaluate(List<BackendServerName> replicas) {
        Transition<GroupEjections, EjectionChange> evaluated = ejections.evaluate(replicas, Map.of(), now);
        ejections = evaluated.state();
        return evaluated.effects().stream().map(EjectionChange::kind).toList();
    }
}
