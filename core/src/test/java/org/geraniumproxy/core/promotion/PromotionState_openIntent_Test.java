package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against promoting the target of an earlier intent, or another database beside it, without evidence. */
class PromotionState_openIntent_Test extends PromotionStateFixture {
    /** Guards against a promotion of a database that lacks what was acknowledged since its intent was chosen. */
    @Test
    void should_not_promote_the_target_of_an_open_intent_whose_log_is_behind() {
        intent = Optional.of(openIntent(SECOND, Optional.of(OTHER_ATTEMPT)));
        requestAt(10, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against a request that takes effect late, while the next holder waits beside a primary that serves. */
    @Test
    void should_replace_a_primary_that_serves_while_a_request_of_an_earlier_holder_is_open() {
        intent = Optional.of(openIntent(SECOND, Optional.of(OTHER_ATTEMPT)));
        reason = Optional.empty();
        begin();
        answer(PRIMARY, Optional.of(leading(14)));
        answer(SECOND, Optional.of(receiving(10)));
        assertThat(sent(BackendCommand.StepDown.class), containsInAnyOrder(PRIMARY));
        answerStepDown(new CommandResult.Answered(steppedDown(14)));
        answer(THIRD, stopped(14));
        record();
        answer(THIRD, stopped(14));
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_not_replace_a_primary_for_an_intent_that_has_taken_effect() {
        intent = Optional.of(openIntent(SECOND, Optional.of(OTHER_ATTEMPT)).taken());
        primary = Optional.of(SECOND);
        reason = Optional.empty();
        begin();
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
    }

    /** Guards against the replacement of a primary because of an intent whose request was never sent. */
    @Test
    void should_not_replace_a_primary_for_its_own_intent_without_a_request() {
        requestAt(12, 10);
        on(new PromotionEvent.RequestUnanswered());
        on(new PromotionEvent.RequestAccepted());
        now = now.plus(PromotionState.SETTLING_TIME);
        stopAt(12, 14);
        on(new PromotionEvent.FencingTokenRenewed(true));
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Unconfirmed()));
        intent = Optional.of(openIntent(THIRD, Optional.of(new AttemptId("vm-1", 2))));
        answerResumption(SECOND);
        answerResumption(THIRD);
        reason = Optional.empty();
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
        begin();
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(recordedProgress(), contains(PromotionIntent.Progress.REFUSED));
    }

    /** Guards against attempts that a slow store ends although all replicas answer. */
    @Test
    void should_verify_replicas_after_a_slow_write_of_the_intent() {
        stopAt(12, 12);
        now = now.plus(PromotionState.ATTEMPT_TIMEOUT).plusMillis(1);
        record();
        begin();
        answerStopped(12, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against an intent that hides an earlier one whose request may still take effect. */
    @Test
    void should_not_refuse_its_intent_while_an_earlier_request_may_take_effect() {
        intent = Optional.of(openIntent(SECOND, Optional.of(OTHER_ATTEMPT)));
        stopAt(12, 12);
        record();
        answer(SECOND, Optional.empty());
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(recordedIntents(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
    }

    /** Guards against a request that is sent before the VMs stop to acknowledge what the chosen log lacks. */
    @Test
    void should_request_a_promotion_only_when_all_vms_in_contact_enforce_it() {
        stopAt(12, 12);
        unfenced = Set.of(VmName.of("vm-2"));
        on(new PromotionEvent.SnapshotTaken(snapshot()));
        record();
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        unfenced = Set.of();
        on(new PromotionEvent.SnapshotTaken(snapshot()));
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
        answerStopped(12, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against a group that waits for a VM that has failed. */
    @Test
    void should_request_a_promotion_although_a_vm_does_not_confirm_it_in_time() {
        stopAt(12, 12);
        unfenced = Set.of(VmName.of("vm-2"));
        on(new PromotionEvent.SnapshotTaken(snapshot()));
        record();
        now = now.plus(AttemptSteps.FENCE_TIMEOUT);
        on(new PromotionEvent.TimePassed(snapshot()));
        assertThat(loggedDecisions(), hasItem("promotion not confirmed by all VMs"));
        answerStopped(12, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against a late copy that promotes a database whose notice is over. */
    @Test
    void should_compare_the_logs_again_when_the_target_of_a_request_without_an_answer_leaves() {
        requestAt(12, 12);
        on(new PromotionEvent.RequestUnanswered());
        draining = Set.of(THIRD);
        now = now.plus(PromotionState.REQUEST_RETRY_DELAY);
        begin();
        assertThat(requestedPromotions(), is(empty()));
    }

    /** Guards against the promotion of a database that lost its log in a restart after its verification. */
    @Test
    void should_compare_the_logs_again_when_the_target_of_a_request_without_an_answer_restarts() {
        requestAt(12, 12);
        on(new PromotionEvent.RequestUnanswered());
        recentlyRestarted = Set.of(THIRD);
        now = now.plus(PromotionState.REQUEST_RETRY_DELAY);
        begin();
        assertThat(requestedPromotions(), is(empty()));
    }

    /** Guards against a group that waits for a database that leaves and alone holds all acknowledged commits. */
    @Test
    void should_repeat_a_request_for_a_target_that_left_before_it_was_chosen() {
        draining = Set.of(THIRD);
        requestAt(10, 12);
        on(new PromotionEvent.RequestUnanswered());
        now = now.plus(PromotionState.REQUEST_RETRY_DELAY);
        begin();
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against a request that is repeated for so long that other VMs take its intent for ended. */
    @Test
    void should_compare_the_logs_again_when_a_request_gets_no_answer_for_long() {
        requestAt(12, 12);
        on(new PromotionEvent.RequestUnanswered());
        now = now.plus(PromotionState.REQUEST_PERIOD).plusMillis(1);
        begin();
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
        intent = Optional.of(openIntent(THIRD, Optional.of(new AttemptId("vm-1", 1))));
        begin();
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    /** Guards against two requests of different holders that promote one database after the other. */
    @Test
    void should_promote_the_target_of_an_open_intent_rather_than_another_one() {
        intent = Optional.of(openIntent(SECOND, Optional.empty()));
        requestAt(12, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    @Test
    void should_choose_freely_when_the_request_of_an_open_intent_has_taken_effect() {
        intent = Optional.of(new PromotionIntent(
                PRIMARY, TERM - 1, PromotionIntent.Progress.TAKEN, Optional.empty(), Optional.of(OTHER_ATTEMPT), now));
        now = now.plus(PromotionState.SETTLING_TIME);
        requestAt(10, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** The store recorded the intent of an attempt that got no answer and was given up. */
    @Test
    void should_choose_freely_when_its_own_intent_was_recorded_late() {
        stopAt(12, 10);
        answerStopped(12, 10);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Unconfirmed()));
        answerResumption(SECOND);
        answerResumption(THIRD);
        intent = Optional.of(openIntent(SECOND, Optional.of(new AttemptId("vm-1", 1))));
        now = now.plus(PromotionState.SETTLING_TIME);
        requestAt(12, 14);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against forgetting, with the lease, that an own request may have been sent. */
    @Test
    void should_keep_replicas_stopped_when_its_own_intent_is_open_since_it_lost_the_lease() {
        requestAt(12, 10);
        state = state.released(now);
        intent = Optional.of(openIntent(SECOND, Optional.of(new AttemptId("vm-1", 1))));
        now = now.plus(PromotionState.SETTLING_TIME);
        begin();
        answer(SECOND, Optional.of(receiving(12)));
        answer(THIRD, Optional.of(receiving(14)));
        answer(SECOND, stopped(12));
        answer(THIRD, Optional.empty());
        assertThat(recordedIntents(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
    }

    /** Guards against overwriting the intent of an earlier holder whose request may be in flight. */
    @Test
    void should_keep_the_replicas_stopped_when_an_earlier_holder_recorded_an_intent() {
        stopAt(12, 10);
        answerStopped(12, 10);
        PromotionIntent earlier = openIntent(THIRD, Optional.of(OTHER_ATTEMPT));
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Superseded(Optional.of(earlier))));
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
    }

    @Test
    void should_write_the_intent_again_when_the_present_one_has_ended() {
        stopAt(12, 10);
        PromotionIntent earlier = new PromotionIntent(
                THIRD, TERM - 1, PromotionIntent.Progress.TAKEN, Optional.empty(), Optional.of(OTHER_ATTEMPT), now);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Superseded(Optional.of(earlier))));
        assertThat(effects.getFirst() instanceof PromotionEffect.RecordIntent, is(true));
        record();
        answerStopped(12, 10);
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    @Test
    void should_choose_again_when_the_last_request_was_answered() {
        intent = Optional.of(new PromotionIntent(
                SECOND, TERM, PromotionIntent.Progress.TAKEN, Optional.empty(), Optional.empty(), LONG_AGO));
        begin();
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }
}
