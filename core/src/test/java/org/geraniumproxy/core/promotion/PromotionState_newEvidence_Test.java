package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
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
        assertThat(recordedIntents(), is(empty()));
        answer(ADDED, stopped(12));
        record();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD, ADDED));
    }

    @Test
    void should_not_request_a_promotion_when_a_replica_becomes_known_after_the_choice() {
        stopAt(10, 10);
        members = List.of(PRIMARY, SECOND, THIRD, ADDED);
        takeSnapshot();
        record();
        answerStopped(10, 10);
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(requestedPromotions(), is(empty()));
        assertThat(recordedProgress(), contains(PromotionIntent.Progress.REFUSED));
    }

    @Test
    void should_not_request_a_promotion_when_a_later_position_was_acknowledged() {
        stopAt(10, 10);
        record();
        acknowledged = Optional.of(LogPosition.of(3, 11));
        takeSnapshot();
        answerStopped(10, 10);
        assertThat(requestedPromotions(), is(empty()));
        assertThat(recordedProgress(), hasItem(PromotionIntent.Progress.REFUSED));
    }

    @Test
    void should_not_request_a_promotion_when_another_database_was_promoted_meanwhile() {
        stopAt(10, 10);
        record();
        newestTerm = TERM;
        takeSnapshot();
        answerStopped(10, 10);
        assertThat(requestedPromotions(), is(empty()));
    }

    /**
     * Guards against a request that is repeated although a database that it did not count may have confirmed commits.
     */
    @Test
    void should_take_the_place_of_a_request_without_an_answer_when_a_replica_becomes_known() {
        requestAt(10, 10);
        on(new PromotionEvent.RequestUnanswered());
        members = List.of(PRIMARY, SECOND, THIRD, ADDED);
        now = now.plus(PromotionState.REQUEST_RETRY_DELAY);
        begin();
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
        intent = Optional.of(openIntent(THIRD, Optional.of(new AttemptId("vm-1", 1))));
        begin();
        answer(ADDED, Optional.of(receiving(11)));
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD, ADDED));
        answerStopped(10, 10);
        answer(ADDED, stopped(12));
        assertThat(effects, hasItem(new PromotionEffect.RenewFencingToken()));
        on(new PromotionEvent.FencingTokenRenewed(true));
        record();
        answerStopped(10, 10);
        answer(ADDED, stopped(12));
        assertThat(requestedPromotions(), containsInAnyOrder(ADDED));
    }

    @Test
    void should_promote_beside_a_replica_that_becomes_known_when_the_primary_has_stepped_down() {
        beginReplacementOfLeavingPrimary();
        answerStepDown(new CommandResult.Answered(steppedDown(11)));
        answer(SECOND, stopped(11));
        members = List.of(PRIMARY, SECOND, THIRD, ADDED);
        takeSnapshot();
        record();
        answer(SECOND, stopped(11));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    private void takeSnapshot() {
        on(new PromotionEvent.SnapshotTaken(snapshot()));
    }
}
