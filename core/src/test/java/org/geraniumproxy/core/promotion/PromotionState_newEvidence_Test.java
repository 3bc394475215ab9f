package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against a promotion on evidence that was read when the attempt began and has changed since. */
class PromotionState_newEvidence_Test extends PromotionStateFixture {
    @Test
    void should_stop_a_replica_whose_entry_arrives_while_the_others_stop() {
        begin();
        answer(SECOND, stopped(10));
        members = List.of(PRIMARY, SECOND, THIRD, ADDED);
        takeSnapshot();
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(ADDED));
        answer(THIRD, stopped(10));
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        answer(ADDED, stopped(12));
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD, ADDED));
    }

    @Test
    void should_not_record_an_intent_when_a_replica_becomes_known_after_the_choice() {
        stopAt(10, 10);
        members = List.of(PRIMARY, SECOND, THIRD, ADDED);
        takeSnapshot();
        answerStopped(10, 10);
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(intents(), is(empty()));
    }

    @Test
    void should_not_request_a_promotion_when_a_later_position_was_acknowledged() {
        stopAt(10, 10);
        answerStopped(10, 10);
        acknowledged = Optional.of(LogPosition.of(3, 11));
        takeSnapshot();
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), is(empty()));
        assertThat(intents(), hasItem(PromotionIntent.Progress.REFUSED));
    }

    @Test
    void should_not_request_a_promotion_when_another_database_was_promoted_meanwhile() {
        stopAt(10, 10);
        answerStopped(10, 10);
        newestTerm = TERM;
        takeSnapshot();
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), is(empty()));
    }

    @Test
    void should_promote_beside_a_replica_that_becomes_known_when_the_primary_has_stepped_down() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(steppedDown(11)));
        answer(SECOND, stopped(11));
        members = List.of(PRIMARY, SECOND, THIRD, ADDED);
        takeSnapshot();
        answer(SECOND, stopped(11));
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    private void takeSnapshot() {
        on(new PromotionEvent.SnapshotTaken(snapshot()));
    }

    private List<PromotionIntent.Progress> intents() {
        return effects.stream()
                .filter(PromotionEffect.RecordIntent.class::isInstance)
                .map(effect -> ((PromotionEffect.RecordIntent) effect).intent().progress())
                .toList();
    }
}
