package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against the promotion of a database in an evacuated failure domain, and against a group without a primary. */
class PromotionState_evacuation_Test extends PromotionStateFixture {
    @Test
    void should_choose_a_database_elsewhere_among_equal_logs() {
        evacuated = Set.of(THIRD);
        requestAt(10, 10);
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    @Test
    void should_choose_none_when_only_an_evacuated_database_has_the_longest_log() {
        evacuated = Set.of(THIRD);
        stopAt(9, 10);
        assertThat(recordedIntents(), is(empty()));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    @Test
    void should_not_choose_the_evacuated_target_of_an_open_request() {
        evacuated = Set.of(THIRD);
        intent = Optional.of(openIntent(THIRD, Optional.of(OTHER_ATTEMPT)));
        requestAt(10, 10);
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    @Test
    void should_replace_an_evacuated_primary_that_serves_by_its_last_position() {
        beginReplacementOf(PromotionReason.EVACUATING, Set.of(PRIMARY), 10);
        assertThat(sent(BackendCommand.StepDown.class), containsInAnyOrder(PRIMARY));
        answerStepDown(new CommandResult.Answered(steppedDown(10)));
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(PRIMARY, SECOND, THIRD));
        answer(PRIMARY, stopped(10));
        assertThat(recordedIntents(), is(empty()));
        answer(SECOND, stopped(10));
        assertThat(recordedIntents().stream().map(PromotionIntent::target).toList(), containsInAnyOrder(SECOND));
    }

    /** Guards against a primary that has stepped down although only evacuated databases could take over. */
    @Test
    void should_not_step_down_a_primary_without_a_candidate_elsewhere() {
        acknowledged = Optional.of(LogPosition.of(3, 11));
        beginReplacementOf(PromotionReason.EVACUATED, Set.of(PRIMARY, THIRD), 10);
        answer(THIRD, Optional.of(receiving(11)));
        assertThat(sent(BackendCommand.StepDown.class), is(empty()));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
    }

    /** Guards against a failure domain that is evacuated between the choice and the request. */
    @Test
    void should_not_request_the_promotion_of_a_database_that_is_evacuated_meanwhile() {
        stopAt(10, 9);
        record();
        evacuated = Set.of(SECOND);
        on(new PromotionEvent.SnapshotTaken(snapshot()));
        answerStopped(10, 9);
        assertThat(requestedPromotions(), is(empty()));
        assertThat(recordedProgress(), containsInAnyOrder(PromotionIntent.Progress.REFUSED));
    }

    /** Guards against commands to an evacuated failure domain that no proof needs. */
    @Test
    void should_query_stopped_replicas_in_an_evacuated_failure_domain_only_after_the_evacuation() {
        reason = Optional.empty();
        evacuated = Set.of(THIRD);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND));
        resumed(SECOND, Optional.of(receiving(10)));
        now = now.plus(Resumption.RETRY_DELAY);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        evacuated = Set.of();
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(THIRD));
    }

    private void beginReplacementOf(
            PromotionReason newReason, Set<BackendServerName> evacuatedDatabases, long position) {
        reason = Optional.of(newReason);
        evacuated = evacuatedDatabases;
        begin();
        answer(PRIMARY, Optional.of(leading(position)));
        answer(SECOND, Optional.of(receiving(position)));
    }
}
