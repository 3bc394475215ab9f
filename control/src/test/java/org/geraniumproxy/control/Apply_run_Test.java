package org.geraniumproxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.protocol.FaultRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an apply that is lost, repeated or reported with the wrong result. */
@Timeout(60)
class Apply_run_Test {
    private static final String FIRST = ExampleConfiguration.withRate(10);
    private static final String SECOND = ExampleConfiguration.withRate(20);
    private static final Duration WAIT = Duration.ofSeconds(5);

    private ControlTestEnvironment environment = ControlTestEnvironment.start();

    @AfterEach
    void stop() {
        environment.close();
    }

    @Test
    void should_wait_until_every_live_VM_has_the_revision() {
        // given
        environment.addVms("a", "b", "c");
        environment.setRevision("a", 1, "a", "b", "c");
        CompletableFuture<ExitCode> result = environment.apply(FIRST, 0, "mine", WAIT);
        assertThat(result.isDone(), is(false));

        // when
        environment.setRevision("b", 1);
        environment.advance(RolloutMonitor.POLL_INTERVAL);
        assertThat("c is missing", result.isDone(), is(false));
        environment.setRevision("c", 1);
        environment.advance(RolloutMonitor.POLL_INTERVAL);

        // then
        assertThat(result.join(), is(ExitCode.SUCCESS));
        assertThat(environment.text(), containsString("changes against revision 0:\n  + customer troupes"));
        assertThat(environment.text(), containsString("accepted as revision 1, apply mine"));
        assertThat(environment.text(), containsString("revision 1 is in force on every VM"));
    }

    @Test
    void should_report_an_unresponsive_VM_that_other_VMs_consider_live() {
        // given
        environment.addVms("a", "b", "c");
        environment.setRevision("a", 1, "a", "b", "c");
        environment.setRevision("b", 1);
        environment.stopAnswering("c");

        // when
        CompletableFuture<ExitCode> result = environment.apply(FIRST, 0, "mine", WAIT);
        environment.advance(WAIT.plusSeconds(3));

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(
                environment.text(),
                containsString("is held by a majority of the voters, but is not yet in force on: c\n"));
    }

    @Test
    void should_report_a_missing_majority() {
        // given
        environment.addVms("a", "b", "c");
        environment.setRevision("a", 1);

        // when
        CompletableFuture<ExitCode> result = environment.apply(FIRST, 0, "mine", WAIT);
        environment.advance(WAIT.plusSeconds(1));

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(environment.text(), containsString("held by 1 voters, 2 are needed; not yet in force on: b, c"));
    }

    @Test
    void should_apply_once_when_the_replies_to_both_writes_are_lost() {
        // given
        environment.inject(FaultRequest.newBuilder().setLoseReplies(2).build()).join();

        // when
        CompletableFuture<ExitCode> result = environment.apply(FIRST, 0, "mine", Duration.ZERO);
        environment.advance(Duration.ofSeconds(1));

        // then
        assertThat(result.join(), is(ExitCode.SUCCESS));
        assertThat(environment.manifest().manifest().applyIdentifier(), equalTo("mine"));
        assertThat(environment.manifest().manifest().revision(), equalTo(1L));
    }

    @Test
    void should_reject_an_outdated_base_revision() {
        // given
        environment.apply(FIRST, 0, "other", Duration.ZERO).join();

        // when
        ExitCode result = environment.apply(SECOND, 0, "mine", Duration.ZERO).join();

        // then
        assertThat(result, is(ExitCode.REFUSED));
        assertThat(
                environment.text(),
                containsString("conflict: the change is based on revision 0, but revision 1 of apply other"));
        assertThat(environment.manifest().manifest().applyIdentifier(), equalTo("other"));
    }

    @Test
    void should_show_the_concurrent_changes_that_caused_a_conflict() {
        // given
        environment.close();
        ControlTestEnvironment[] started = new ControlTestEnvironment[1];
        started[0] = ControlTestEnvironment.start(store -> new ControlTestEnvironment.SwapHookStore(
                store, () -> started[0].apply(SECOND, 0, "winner", Duration.ZERO)));
        environment = started[0];

        // when
        ExitCode result = environment.apply(FIRST, 0, "loser", Duration.ZERO).join();

        // then
        assertThat(result, is(ExitCode.REFUSED));
        assertThat(
                environment.text(),
                containsString(
                        "changed since revision 0:\n  + customer troupes: rate 20.0/s, burst 5, weight 1, 0 keys"));
        assertThat(environment.manifest().manifest().applyIdentifier(), equalTo("winner"));
    }

    @Test
    void should_report_that_nothing_was_changed_while_the_store_is_down() {
        // given
        environment.inject(FaultRequest.newBuilder().setDown(true).build()).join();

        // when
        CompletableFuture<ExitCode> result = environment.apply(FIRST, 0, "mine", WAIT);
        environment.advance(ApplyRunner.DEADLINE);

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(environment.text(), containsString("nothing was changed: UNAVAILABLE"));
    }

    @Test
    void should_report_an_unknown_outcome_when_the_store_fails_during_the_swap() {
        // given
        environment.close();
        ControlTestEnvironment[] started = new ControlTestEnvironment[1];
        started[0] = ControlTestEnvironment.start(store -> new ControlTestEnvironment.SwapHookStore(
                store,
                () -> started[0].inject(
                        FaultRequest.newBuilder().setIsolated(true).build())));
        environment = started[0];

        // when
        CompletableFuture<ExitCode> result = environment.apply(FIRST, 0, "mine", WAIT);
        environment.advance(ApplyRunner.DEADLINE);

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(environment.text(), containsString("outcome unknown: revision 1 of apply mine"));
        assertThat(environment.text(), not(containsString("nothing was changed")));
    }
}
