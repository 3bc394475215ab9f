package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.junit.jupiter.api.Test;

/** Guards against commands that a database carries out seconds late, after newer ones. */
class PromotionState_lateCommand_Test extends PromotionStateFixture {
    /** Guards against commits confirmed by a replica that resumes between the request and the promotion. */
    @Test
    void should_prefer_the_replica_that_an_unanswered_command_may_resume() {
        abandonWithUnansweredResumptionOfSecond();
        requestAt(12, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    @Test
    void should_wait_for_the_primary_to_step_down_when_another_replica_may_be_resumed() {
        abandonWithUnansweredResumptionOfSecond();
        stopAt(12, 14);
        assertThat(sent(BackendCommand.StepDown.class), containsInAnyOrder(PRIMARY));
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(recordedIntents(), is(empty()));
        answerStepDown(new CommandResult.Answered(receiving(14)));
        record();
        answerStopped(12, 14);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_not_promote_while_a_replica_may_be_resumed_and_the_primary_does_not_answer() {
        abandonWithUnansweredResumptionOfSecond();
        stopAt(12, 14);
        answerStepDown(new CommandResult.Unanswered("no answer in time"));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(requestedPromotions(), is(empty()));
    }

    /** Guards against forgetting an unanswered command when a later one of the same kind is answered. */
    @Test
    void should_remember_an_unanswered_resume_command_when_the_next_one_is_answered() {
        abandonWithUnansweredResumptionOfSecond();
        begin();
        answer(SECOND, stopped(12));
        answer(THIRD, Optional.empty());
        AttemptId second = new AttemptId("vm-1", 2);
        complete(SECOND, new BackendCommand.ResumeReceiving(), Optional.of(second), Optional.of(receiving(12)));
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
        stopAt(12, 14);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(recordedIntents(), is(empty()));
    }

    @Test
    void should_promote_without_the_primary_when_no_command_can_be_carried_out_late_any_more() {
        abandonWithUnansweredResumptionOfSecond();
        now = now.plus(OutstandingCommands.LATE_COMMAND_TIMEOUT);
        requestAt(12, 14);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_remember_an_unanswered_resume_command_after_the_loss_of_the_lease() {
        abandonWithUnansweredResumptionOfSecond();
        state = state.released(now);
        begin();
        answer(SECOND, Optional.of(receiving(12)));
        answer(THIRD, Optional.of(receiving(14)));
        answerStopped(12, 14);
        assertThat(sent(BackendCommand.StepDown.class), containsInAnyOrder(PRIMARY));
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(recordedIntents(), is(empty()));
    }

    /** Guards against a resume command of an earlier holder that is carried out during the attempt of the next one. */
    @Test
    void should_ask_replicas_whether_they_receive_before_the_first_attempt() {
        state = PromotionState.initial("vm-1");
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
        answer(SECOND, stopped(12));
        answer(THIRD, Optional.of(receiving(14)));
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
        answerStopped(12, 14);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(recordedIntents(), is(empty()));
        answerStepDown(new CommandResult.Answered(receiving(14)));
        record();
        answerStopped(12, 14);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_not_promote_before_a_primary_that_serves_has_stepped_down() {
        beginReplacementOfLeavingPrimary();
        assertThat(sent(BackendCommand.StepDown.class), containsInAnyOrder(PRIMARY));
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
        answerStepDown(new CommandResult.Unanswered("no answer in time"));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
    }

    /** Guards against a wait for the entry of a new primary that nobody has promoted. */
    @Test
    void should_begin_the_next_attempt_at_once_when_the_primary_has_stepped_down_late() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Unanswered("no answer in time"));
        begin();
        reason = Optional.of(PromotionReason.NONE_LEADS);
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(PRIMARY, SECOND, THIRD));
    }

    /** Guards against commits that a draining primary acknowledges to the VMs that reach it. */
    @Test
    void should_wait_while_a_draining_primary_that_serves_cannot_be_reached() {
        reason = Optional.of(PromotionReason.LEAVING);
        begin();
        answer(SECOND, Optional.of(receiving(12)));
        answer(THIRD, Optional.of(receiving(10)));
        fail(PRIMARY);
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
    }

    @Test
    void should_promote_when_a_primary_whose_notice_is_over_cannot_be_reached() {
        reason = Optional.of(PromotionReason.LEFT);
        begin();
        answer(SECOND, Optional.of(receiving(12)));
        answer(THIRD, Optional.of(receiving(10)));
        fail(PRIMARY);
        answerStopped(12, 10);
        record();
        answerStopped(12, 10);
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    /** Guards against a replica that stays stopped because a command to stop is carried out after the attempt. */
    @Test
    void should_query_a_replica_again_that_an_unanswered_command_may_stop() {
        begin();
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        reason = Optional.empty();
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
        begin();
        resumed(SECOND, Optional.of(receiving(10)));
        resumed(THIRD, Optional.of(receiving(10)));
        now = now.plus(Resumption.RETRY_DELAY);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(THIRD));
    }
}
