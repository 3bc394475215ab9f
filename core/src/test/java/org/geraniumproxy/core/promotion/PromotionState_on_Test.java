package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.StoreRevision;
import org.junit.jupiter.api.Test;

/** Guards against losing acknowledged commits in a promotion. */
class PromotionState_on_Test {
    private static final BackendServerName PRIMARY = BackendServerName.of("db-1");
    private static final BackendServerName SECOND = BackendServerName.of("db-2");
    private static final BackendServerName THIRD = BackendServerName.of("db-3");
    private static final long TERM = 4;
    private static final AttemptId OTHER_ATTEMPT = new AttemptId("vm-2", 1);
    private static final Instant LONG_AGO = Instant.EPOCH.minus(Duration.ofMinutes(1));

    private Instant now = Instant.EPOCH;
    private PromotionState state = stateOfHolderThatSawReplicasReceive();
    private List<PromotionEffect> effects = List.of();
    private Set<BackendServerName> draining = Set.of();
    private Set<BackendServerName> recentlyRestarted = Set.of();
    private Set<BackendServerName> suspected = Set.of();
    private Optional<PromotionReason> reason = Optional.of(PromotionReason.FAILING);
    private Optional<PromotionIntent> intent = Optional.empty();
    private Optional<LogPosition> acknowledged = Optional.empty();

    @Test
    void should_choose_the_longer_log_of_the_stopped_replicas() {
        begin();
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
        answer(SECOND, stopped(10));
        answer(THIRD, stopped(12));
        answerStopped(10, 12);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_not_choose_from_the_position_of_one_replica_alone() {
        begin();
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND));
    }

    @Test
    void should_ignore_the_position_of_a_replica_that_still_receives() {
        begin();
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.of(new DatabaseStatus(false, TERM, LogPosition.of(3, 12), 0)));
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(requestedPromotions(), is(empty()));
    }

    @Test
    void should_not_request_a_promotion_when_a_replica_restarted_during_verification() {
        stopAt(10, 10);
        answer(SECOND, Optional.of(new DatabaseStatus(false, 3, LogPosition.of(3, 11), 0)));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(requestedPromotions(), is(empty()));
    }

    @Test
    void should_not_count_a_replica_that_may_have_lost_confirmed_commits() {
        recentlyRestarted = Set.of(THIRD);
        stopAt(10, 1);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
    }

    @Test
    void should_wait_when_only_a_draining_replica_has_the_highest_position_and_the_primary_serves() {
        draining = Set.of(THIRD);
        reason = Optional.of(PromotionReason.LEAVING);
        stopAt(10, 12);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
    }

    /** Guards against losing a commit that only a draining replica holds. */
    @Test
    void should_promote_a_draining_replica_when_it_alone_has_the_highest_position_and_no_primary_serves() {
        draining = Set.of(THIRD);
        requestAt(10, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against losing commits confirmed by a database whose entry expired during a partition from the store. */
    @Test
    void should_count_the_log_of_a_suspected_database_that_answers() {
        suspected = Set.of(THIRD);
        begin();
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
        answer(SECOND, stopped(10));
        answer(THIRD, stopped(12));
        answerStopped(10, 12);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_proceed_without_a_suspected_database_that_does_not_answer() {
        suspected = Set.of(THIRD);
        begin();
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        answer(SECOND, stopped(10));
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    @Test
    void should_not_request_a_promotion_whose_intent_could_not_be_recorded() {
        stopAt(10, 10);
        answerStopped(10, 10);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Unconfirmed()));
        assertThat(requestedPromotions(), is(empty()));
    }

    @Test
    void should_retry_an_unanswered_request_and_keep_the_replicas_stopped() {
        requestAt(12, 10);
        on(new PromotionEvent.RequestUnanswered());
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
        now = now.plus(PromotionState.REQUEST_RETRY_DELAY);
        on(new PromotionEvent.TimePassed(snapshot()));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    /** Guards against a second choice while a copy of the first request may still take effect. */
    @Test
    void should_keep_retrying_when_a_retry_is_refused_after_an_unanswered_request() {
        requestAt(12, 10);
        on(new PromotionEvent.RequestUnanswered());
        on(new PromotionEvent.RequestRefused());
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
        now = now.plus(PromotionState.REQUEST_RETRY_DELAY);
        on(new PromotionEvent.TimePassed(snapshot()));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

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
        answerStepDown(new CommandResult.Answered(receiving(14)));
        answerStopped(12, 14);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
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
        answerStepDown(new CommandResult.Answered(receiving(14)));
        answerStopped(12, 14);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_not_promote_before_a_primary_that_serves_has_stepped_down() {
        reason = Optional.of(PromotionReason.LEAVING);
        stopAt(12, 10);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        answerStepDown(new CommandResult.Unanswered("no answer in time"));
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    /** Guards against a wait for the entry of a new primary that nobody has promoted. */
    @Test
    void should_begin_the_next_attempt_at_once_when_the_primary_has_stepped_down_late() {
        reason = Optional.of(PromotionReason.LEAVING);
        stopAt(12, 10);
        answerStepDown(new CommandResult.Unanswered("no answer in time"));
        begin();
        reason = Optional.of(PromotionReason.NONE_LEADS);
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
        begin();
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    @Test
    void should_promote_when_a_draining_primary_cannot_be_reached() {
        reason = Optional.of(PromotionReason.LEAVING);
        stopAt(12, 10);
        answerStepDown(new CommandResult.Failed("no connection to the database"));
        answerStopped(12, 10);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
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

    @Test
    void should_choose_freely_when_the_request_of_an_open_intent_has_taken_effect() {
        intent = Optional.of(
                new PromotionIntent(PRIMARY, TERM - 1, PromotionIntent.Progress.OPEN, Optional.of(OTHER_ATTEMPT), now));
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
        PromotionIntent earlier =
                new PromotionIntent(THIRD, TERM - 1, PromotionIntent.Progress.TAKEN, Optional.of(OTHER_ATTEMPT), now);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Superseded(Optional.of(earlier))));
        assertThat(effects.getFirst() instanceof PromotionEffect.RecordIntent, is(true));
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    @Test
    void should_choose_again_when_the_last_request_was_answered() {
        intent = Optional.of(
                new PromotionIntent(SECOND, TERM, PromotionIntent.Progress.TAKEN, Optional.empty(), LONG_AGO));
        begin();
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    @Test
    void should_announce_the_new_primary_when_the_request_is_accepted() {
        requestAt(12, 10);
        on(new PromotionEvent.RequestAccepted());
        assertThat(
                effects.stream()
                        .filter(PromotionEffect.AnnouncePrimary.class::isInstance)
                        .map(effect -> ((PromotionEffect.AnnouncePrimary) effect)
                                .claim()
                                .database())
                        .toList(),
                containsInAnyOrder(SECOND));
    }

    /** Guards against a commit acknowledged between the accepted request and the promotion some 600 ms later. */
    @Test
    void should_not_resume_replicas_before_the_promotion_takes_effect() {
        requestAt(12, 10);
        on(new PromotionEvent.RequestAccepted());
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
    }

    /** Guards against losing the last commits when their only replica is gone but the primary still has them. */
    @Test
    void should_wait_when_no_replica_holds_all_acknowledged_commits() {
        acknowledged = Optional.of(LogPosition.of(3, 13));
        stopAt(10, 12);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(sent(BackendCommand.StepDown.class), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    @Test
    void should_choose_a_replica_that_holds_all_acknowledged_commits() {
        acknowledged = Optional.of(LogPosition.of(3, 12));
        stopAt(10, 12);
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
    }

    /** Guards against a second attempt that stops replicas while the first promotion is in progress. */
    @Test
    void should_not_begin_an_attempt_while_the_last_promotion_is_settling() {
        intent = Optional.of(new PromotionIntent(SECOND, TERM, PromotionIntent.Progress.TAKEN, Optional.empty(), now));
        begin();
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
        now = now.plus(PromotionState.SETTLING_TIME);
        begin();
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    /** Guards against a replica that stays stopped after the holder that stopped it lost the lease. */
    @Test
    void should_query_replicas_until_they_receive() {
        reason = Optional.empty();
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
        resumed(SECOND, Optional.of(new DatabaseStatus(false, TERM, LogPosition.of(3, 10), 0)));
        resumed(THIRD, Optional.empty());
        now = now.plus(Resumption.RETRY_DELAY);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(THIRD));
        resumed(THIRD, stopped(10));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(THIRD));
        resumed(THIRD, Optional.of(new DatabaseStatus(false, TERM, LogPosition.of(3, 10), 0)));
        now = now.plus(Resumption.RETRY_DELAY);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
    }

    /** Guards against a resume command that a database carries out seconds later, during an attempt. */
    @Test
    void should_not_resume_a_replica_that_receives() {
        reason = Optional.empty();
        begin();
        resumed(SECOND, Optional.of(new DatabaseStatus(false, TERM, LogPosition.of(3, 10), 0)));
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
    }

    /** Guards against replicas that confirm commits of the old primary after its replacement was requested. */
    @Test
    void should_not_resume_replicas_before_the_own_request_takes_effect() {
        requestAt(12, 10);
        on(new PromotionEvent.RequestAccepted());
        reason = Optional.empty();
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        now = now.plus(PromotionState.SETTLING_TIME);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
    }

    /** Guards against a new holder that learns of the new primary from another VM before the promotion takes effect. */
    @Test
    void should_not_resume_replicas_while_a_request_of_an_earlier_holder_is_open() {
        intent = Optional.of(new PromotionIntent(SECOND, TERM, PromotionIntent.Progress.OPEN, Optional.empty(), now));
        reason = Optional.empty();
        now = now.plus(PromotionState.SETTLING_TIME);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        now = now.plus(PromotionState.LATE_REQUEST_TIMEOUT);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
    }

    @Test
    void should_not_resume_replicas_while_the_last_promotion_is_settling() {
        intent = Optional.of(new PromotionIntent(SECOND, TERM, PromotionIntent.Progress.TAKEN, Optional.empty(), now));
        reason = Optional.empty();
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
    }

    /** Guards against a late copy of a request that promotes its target again after another database was promoted. */
    @Test
    void should_renew_the_token_while_an_earlier_request_may_take_effect() {
        requestAt(12, 10);
        on(new PromotionEvent.RequestUnanswered());
        on(new PromotionEvent.RequestAccepted());
        now = now.plus(PromotionState.SETTLING_TIME);
        stopAt(12, 14);
        answerStopped(12, 14);
        assertThat(effects, contains(new PromotionEffect.RenewFencingToken()));
        on(new PromotionEvent.FencingTokenRenewed(true));
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    @Test
    void should_abandon_an_attempt_after_its_timeout() {
        begin();
        answer(SECOND, stopped(12));
        now = now.plus(PromotionState.ATTEMPT_TIMEOUT).plus(Duration.ofMillis(1));
        on(new PromotionEvent.TimePassed(snapshot()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND));
    }

    /** Begins an attempt in which both replicas stop at the given positions. */
    private void stopAt(long second, long third) {
        begin();
        answerStopped(second, third);
    }

    /** Runs an attempt up to the request to promote the replica with the higher position. */
    private void requestAt(long second, long third) {
        stopAt(second, third);
        answerStopped(second, third);
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
    }

    private void begin() {
        on(new PromotionEvent.TimePassed(snapshot()));
    }

    private void answerStopped(long second, long third) {
        answer(SECOND, stopped(second));
        answer(THIRD, stopped(third));
    }

    private void answer(BackendServerName database, Optional<DatabaseStatus> status) {
        BackendCommand command = state.phase() instanceof PromotionPhase.Stopping
                ? new BackendCommand.StopReceiving(TERM)
                : new BackendCommand.ReadStatus();
        complete(database, command, Optional.of(new AttemptId("vm-1", state.attempts())), status);
    }

    private void answerResumption(BackendServerName replica) {
        Optional<AttemptId> attempt = Optional.of(new AttemptId("vm-1", state.attempts()));
        complete(replica, new BackendCommand.ResumeReceiving(), attempt, Optional.of(receiving(12)));
    }

    private void answerStepDown(CommandResult result) {
        on(new PromotionEvent.CommandCompleted(
                PRIMARY,
                new BackendCommand.StepDown(TERM),
                Optional.of(new AttemptId("vm-1", state.attempts())),
                result));
    }

    /** Abandons an attempt because the third replica didn't answer; the second one doesn't answer when resumed. */
    private void abandonWithUnansweredResumptionOfSecond() {
        begin();
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        Optional<AttemptId> attempt = Optional.of(new AttemptId("vm-1", state.attempts()));
        complete(SECOND, new BackendCommand.ResumeReceiving(), attempt, Optional.empty());
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
    }

    private static PromotionState stateOfHolderThatSawReplicasReceive() {
        PromotionState initial = PromotionState.initial("vm-1");
        return new PromotionState(
                initial.holder(),
                0,
                0,
                initial.phase(),
                Instant.MIN,
                new OutstandingCommands(Set.of(), Set.of(SECOND, THIRD), Optional.of(Instant.EPOCH)));
    }

    private void resumed(BackendServerName database, Optional<DatabaseStatus> status) {
        complete(database, new BackendCommand.ReadStatus(), Optional.empty(), status);
    }

    private void complete(
            BackendServerName database,
            BackendCommand command,
            Optional<AttemptId> attempt,
            Optional<DatabaseStatus> status) {
        CommandResult result = status.<CommandResult>map(CommandResult.Answered::new)
                .orElseGet(() -> new CommandResult.Unanswered("no answer in time"));
        on(new PromotionEvent.CommandCompleted(database, command, attempt, result));
    }

    private void on(PromotionEvent event) {
        Transition<PromotionState, PromotionEffect> transition = state.on(event, now);
        state = transition.state();
        effects = transition.effects();
    }

    private List<BackendServerName> sent(Class<? extends BackendCommand> type) {
        return effects.stream()
                .filter(PromotionEffect.SendCommand.class::isInstance)
                .map(PromotionEffect.SendCommand.class::cast)
                .filter(send -> type.isInstance(send.command()))
                .map(PromotionEffect.SendCommand::database)
                .toList();
    }

    private List<BackendServerName> requestedPromotions() {
        return effects.stream()
                .filter(PromotionEffect.RequestPromotion.class::isInstance)
                .map(effect -> ((PromotionEffect.RequestPromotion) effect).target())
                .toList();
    }

    private GroupSnapshot snapshot() {
        Map<BackendServerName, DatabaseEntry> databases = new HashMap<>();
        Map<BackendServerName, DatabaseEntry> withoutEntry = new HashMap<>();
        for (BackendServerName name : List.of(PRIMARY, SECOND, THIRD)) {
            DatabaseEntry entry = new DatabaseEntry(
                    name,
                    GroupName.of("entries"),
                    "10.0.0.1:1",
                    FailureDomain.of("a"),
                    2,
                    draining.contains(name),
                    name.equals(PRIMARY),
                    1,
                    1,
                    new StoreRevision(1, 1));
            (suspected.contains(name) ? withoutEntry : databases).put(name, entry);
        }
        return new GroupSnapshot(
                databases,
                withoutEntry,
                Optional.of(PRIMARY),
                reason,
                TERM - 1,
                recentlyRestarted,
                1,
                acknowledged,
                intent);
    }

    private PromotionIntent openIntent(BackendServerName target, Optional<AttemptId> attempt) {
        Instant learnedAt = now.minus(PromotionState.SETTLING_TIME);
        return new PromotionIntent(target, TERM, PromotionIntent.Progress.OPEN, attempt, learnedAt);
    }

    private static DatabaseStatus receiving(long position) {
        return new DatabaseStatus(false, TERM, LogPosition.of(3, position), 0);
    }

    private static Optional<DatabaseStatus> stopped(long position) {
        return Optional.of(new DatabaseStatus(false, TERM, LogPosition.of(3, position), TERM));
    }
}
