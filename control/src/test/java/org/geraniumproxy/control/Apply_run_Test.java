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

/** Guards against an apply that is lost, repeated, or reported as something that it is not. */
@Timeout(60)
class Apply_run_Test {
    private static final String FIRST = ExampleConfiguration.withRate(10);
    private static final String SECOND = ExampleConfiguration.withRate(20);
    private static final Duration WAIT = Duration.ofSeconds(5);

    private ControlBench bench = ControlBench.start();

    @AfterEach
    void stop() {
        bench.close();
    }

    @Test
    void should_wait_until_every_live_VM_has_the_revision() {
        // given
        bench.addVms("a", "b", "c");
        bench.letAnswer("a", 1, "a", "b", "c");
        CompletableFuture<ExitCode> result = bench.apply(FIRST, 0, "mine", WAIT);
        assertThat(result.isDone(), is(false));

        // when
        bench.letAnswer("b", 1);
        bench.advance(RolloutWait.ROUND);
        assertThat("c is missing", result.isDone(), is(false));
        bench.letAnswer("c", 1);
        bench.advance(RolloutWait.ROUND);

        // then
        assertThat(result.join(), is(ExitCode.SUCCESS));
        assertThat(bench.text(), containsString("changes against revision 0:\n  + customer troupes"));
        assertThat(bench.text(), containsString("accepted as revision 1, apply mine"));
        assertThat(bench.text(), containsString("revision 1 is in force on every VM"));
    }

    @Test
    void should_name_a_VM_that_does_not_answer_although_others_hear_from_it() {
        // given
        bench.addVms("a", "b", "c");
        bench.letAnswer("a", 1, "a", "b", "c");
        bench.letAnswer("b", 1);
        bench.silence("c");

        // when
        CompletableFuture<ExitCode> result = bench.apply(FIRST, 0, "mine", WAIT);
        bench.advance(WAIT.plusSeconds(3));

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(
                bench.text(), containsString("is held by a majority of the voters, but is not yet in force on: c\n"));
    }

    @Test
    void should_report_a_missing_majority() {
        // given
        bench.addVms("a", "b", "c");
        bench.letAnswer("a", 1);

        // when
        CompletableFuture<ExitCode> result = bench.apply(FIRST, 0, "mine", WAIT);
        bench.advance(WAIT.plusSeconds(1));

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(bench.text(), containsString("held by 1 voters, 2 are needed; not yet in force on: b, c"));
    }

    @Test
    void should_apply_once_when_the_replies_to_both_writes_are_lost() {
        // given
        bench.inject(FaultRequest.newBuilder().setLoseReplies(2).build()).join();

        // when
        CompletableFuture<ExitCode> result = bench.apply(FIRST, 0, "mine", Duration.ZERO);
        bench.advance(Duration.ofSeconds(1));

        // then
        assertThat(result.join(), is(ExitCode.SUCCESS));
        assertThat(bench.manifest().manifest().applyIdentifier(), equalTo("mine"));
        assertThat(bench.manifest().manifest().revision(), equalTo(1L));
    }

    @Test
    void should_refuse_a_base_that_is_no_longer_in_force() {
        // given
        bench.apply(FIRST, 0, "other", Duration.ZERO).join();

        // when
        ExitCode result = bench.apply(SECOND, 0, "mine", Duration.ZERO).join();

        // then
        assertThat(result, is(ExitCode.REFUSED));
        assertThat(
                bench.text(),
                containsString("conflict: the change is based on revision 0, but revision 1 of apply other"));
        assertThat(bench.manifest().manifest().applyIdentifier(), equalTo("other"));
    }

    @Test
    void should_show_the_loser_of_a_race_what_the_winner_changed() {
        // given
        bench.close();
        ControlBench[] started = new ControlBench[1];
        started[0] = ControlBench.start(store ->
                new ControlBench.BeforeSwap(store, () -> started[0].apply(SECOND, 0, "winner", Duration.ZERO)));
        bench = started[0];

        // when
        ExitCode result = bench.apply(FIRST, 0, "loser", Duration.ZERO).join();

        // then
        assertThat(result, is(ExitCode.REFUSED));
        assertThat(
                bench.text(),
                containsString(
                        "changed since revision 0:\n  + customer troupes: rate 20.0/s, burst 5, weight 1, 0 keys"));
        assertThat(bench.manifest().manifest().applyIdentifier(), equalTo("winner"));
    }

    @Test
    void should_say_that_nothing_was_changed_while_the_store_is_down() {
        // given
        bench.inject(FaultRequest.newBuilder().setDown(true).build()).join();

        // when
        CompletableFuture<ExitCode> result = bench.apply(FIRST, 0, "mine", WAIT);
        bench.advance(ApplyRunner.DEADLINE);

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(bench.text(), containsString("nothing was changed: UNAVAILABLE"));
    }

    @Test
    void should_not_claim_anything_when_the_store_goes_down_with_the_swap_on_its_way() {
        // given
        bench.close();
        ControlBench[] started = new ControlBench[1];
        started[0] = ControlBench.start(store -> new ControlBench.BeforeSwap(
                store,
                () -> started[0].inject(
                        FaultRequest.newBuilder().setIsolated(true).build())));
        bench = started[0];

        // when
        CompletableFuture<ExitCode> result = bench.apply(FIRST, 0, "mine", WAIT);
        bench.advance(ApplyRunner.DEADLINE);

        // then
        assertThat(result.join(), is(ExitCode.UNREACHABLE));
        assertThat(bench.text(), containsString("outcome unknown: revision 1 of apply mine"));
        assertThat(bench.text(), not(containsString("nothing was changed")));
    }
}
