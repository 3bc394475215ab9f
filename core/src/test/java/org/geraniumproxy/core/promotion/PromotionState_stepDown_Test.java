package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against commits that a primary acknowledges through a replica that the promotion doesn't know. */
class PromotionState_stepDown_Test extends PromotionStateFixture {
    @Test
    void should_not_promote_a_log_that_ends_before_the_last_position_of_the_old_primary() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(steppedDown(13)));
        answer(SECOND, stopped(12));
        answer(THIRD, stopped(11));
        answer(PRIMARY, Optional.empty());
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(recordedIntents(), is(empty()));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
    }

    @Test
    void should_promote_a_log_that_reaches_the_last_position_without_the_answers_of_other_replicas() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(steppedDown(13)));
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(PRIMARY, SECOND, THIRD));
        answer(THIRD, stopped(13));
        record();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(THIRD));
        answer(THIRD, stopped(13));
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against a group without a primary when no replica received the last commits. */
    @Test
    void should_promote_the_old_primary_again_when_it_alone_holds_its_log() {
        beginReplacementOfLeavingPrimary();
        draining = Set.of(PRIMARY);
        answerStepDown(new CommandResult.Answered(steppedDown(13)));
        answerStopped(12, 11);
        answer(PRIMARY, stopped(13));
        record();
        answer(PRIMARY, stopped(13));
        assertThat(requestedPromotions(), containsInAnyOrder(PRIMARY));
    }

    @Test
    void should_remember_the_last_position_of_the_old_primary_in_the_next_attempt() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(steppedDown(13)));
        answer(THIRD, stopped(13));
        record();
        answer(THIRD, Optional.empty());
        primary = Optional.empty();
        reason = Optional.of(PromotionReason.NONE_LEADS);
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
        begin();
        answer(SECOND, stopped(12));
        answer(THIRD, stopped(13));
        record();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(THIRD));
    }

    /** Guards against the last position of a database that did not lead when it was told to step down. */
    @Test
    void should_stop_the_supposed_primary_as_well_when_it_does_not_lead() {
        reason = Optional.of(PromotionReason.LEAVING);
        begin();
        answer(PRIMARY, Optional.of(steppedDown(8)));
        answer(SECOND, Optional.of(receiving(10)));
        answer(THIRD, Optional.of(receiving(10)));
        assertThat(sent(BackendCommand.StepDown.class), is(empty()));
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(PRIMARY, SECOND, THIRD));
    }

    @Test
    void should_not_use_the_last_position_when_another_database_was_promoted_meanwhile() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(new DatabaseStatus(false, TERM, LogPosition.of(3, 10), 0)));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
    }

    /** Guards against a group that loses its primary before a replica can take over. */
    @Test
    void should_not_step_down_a_primary_that_serves_when_no_replica_can_take_over() {
        acknowledged = Optional.of(LogPosition.of(3, 11));
        beginReplacementOfLeavingPrimary();
        answer(THIRD, Optional.of(receiving(10)));
        assertThat(sent(BackendCommand.StepDown.class), is(empty()));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
    }

    /** Guards against commits of a primary that no longer gets statements but still leads. */
    @Test
    void should_step_down_a_primary_whose_notice_is_over_although_no_replica_can_take_over() {
        acknowledged = Optional.of(LogPosition.of(3, 11));
        reason = Optional.of(PromotionReason.LEFT);
        begin();
        answer(PRIMARY, Optional.of(leading(11)));
        answer(SECOND, Optional.of(receiving(10)));
        answer(THIRD, Optional.of(receiving(10)));
        assertThat(sent(BackendCommand.StepDown.class), containsInAnyOrder(PRIMARY));
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
    }

    @Test
    void should_not_promote_a_log_that_a_late_answer_of_the_old_primary_shows_to_be_short() {
        reason = Optional.of(PromotionReason.FAILING_FOR_OTHERS);
        begin();
        answer(SECOND, Optional.of(receiving(10)));
        answer(THIRD, Optional.of(receiving(10)));
        fail(PRIMARY);
        answerStopped(10, 10);
        answerStepDown(new CommandResult.Answered(steppedDown(13)));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
    }

    /** Guards against a last position that is remembered although the database leads again. */
    @Test
    void should_forget_the_last_position_when_another_database_leads() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(steppedDown(13)));
        answer(THIRD, stopped(13));
        complete(
                SECOND,
                new BackendCommand.StopReceiving(TERM),
                Optional.of(new AttemptId("vm-1", 1)),
                Optional.of(leading(15)));
        assertThat(((PromotionPhase.Watching) state.phase()).steppedDown(), is(Optional.empty()));
        assertThat(requestedPromotions(), is(empty()));
    }

    /** Guards against a group that waits for the target of an earlier request, which does not answer. */
    @Test
    void should_replace_a_leaving_primary_by_another_database_than_the_target_of_an_open_request() {
        intent = Optional.of(openIntent(THIRD, Optional.of(OTHER_ATTEMPT)));
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(steppedDown(11)));
        answer(SECOND, stopped(11));
        record();
        answer(SECOND, stopped(11));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }
}
