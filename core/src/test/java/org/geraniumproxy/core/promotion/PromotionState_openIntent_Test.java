package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.junit.jupiter.api.Test;

/** Guards against promoting the target of an earlier intent, or another database beside it, without evidence. */
class PromotionState_openIntent_Test extends PromotionStateFixture {
    /** Guards against a promotion of a database that lacks what was acknowledged since its intent was chosen. */
    @Test
    void should_not_promote_the_target_of_an_open_intent_whose_log_is_behind() {
        intent = Optional.of(openIntent(SECOND, Optional.of(OTHER_ATTEMPT)));
        begin();
        assertThat(requestedPromotions(), is(empty()));
        answerStopped(10, 12);
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
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
                PRIMARY, TERM - 1, PromotionIntent.Progress.OPEN, Optional.empty(), Optional.of(OTHER_ATTEMPT), now));
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
    void should_not_choose_freely_when_its_own_intent_is_open_since_it_lost_the_lease() {
        requestAt(12, 10);
        state = state.released(now);
        intent = Optional.of(openIntent(SECOND, Optional.of(new AttemptId("vm-1", 1))));
        now = now.plus(PromotionState.SETTLING_TIME);
        begin();
        answerStopped(12, 14);
        answerStopped(12, 14);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
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
        answerStopped(12, 10);
        PromotionIntent earlier = new PromotionIntent(
                THIRD, TERM - 1, PromotionIntent.Progress.TAKEN, Optional.empty(), Optional.of(OTHER_ATTEMPT), now);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Superseded(Optional.of(earlier))));
        assertThat(effects.getFirst() instanceof PromotionEffect.RecordIntent, is(true));
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
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
