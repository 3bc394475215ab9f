package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against losing acknowledged commits in a promotion. */
class PromotionState_on_Test extends PromotionStateFixture {
    @Test
    void should_choose_the_longer_log_of_the_stopped_replicas() {
        begin();
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
        answer(SECOND, stopped(10));
        answer(THIRD, stopped(12));
        record();
        answerStopped(10, 12);
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
        assertThat(recordedIntents(), is(empty()));
        assertThat(requestedPromotions(), is(empty()));
    }

    @Test
    void should_not_request_a_promotion_when_a_replica_restarted_during_verification() {
        stopAt(10, 10);
        record();
        answer(SECOND, Optional.of(new DatabaseStatus(false, 3, LogPosition.of(3, 11), 0)));
        assertThat(state.phase() instanceof PromotionPhase.Watching, is(true));
        assertThat(requestedPromotions(), is(empty()));
        assertThat(recordedProgress(), contains(PromotionIntent.Progress.REFUSED));
    }

    @Test
    void should_not_count_a_replica_that_may_have_lost_confirmed_commits() {
        recentlyRestarted = Set.of(THIRD);
        stopAt(10, 1);
        assertThat(sent(BackendCommand.ReadStatus.class), is(empty()));
        assertThat(recordedIntents(), is(empty()));
    }

    @Test
    void should_wait_when_only_a_draining_replica_has_the_highest_position_and_the_primary_serves() {
        draining = Set.of(THIRD);
        acknowledged = Optional.of(LogPosition.of(3, 12));
        reason = Optional.of(PromotionReason.LEAVING);
        begin();
        answer(PRIMARY, Optional.of(leading(12)));
        answer(SECOND, Optional.of(receiving(10)));
        answer(THIRD, Optional.of(receiving(12)));
        assertThat(sent(BackendCommand.StepDown.class), is(empty()));
        assertThat(sent(BackendCommand.StopReceiving.class), is(empty()));
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
        beginWithSuspectedThird();
        fail(PRIMARY);
        assertThat(sent(BackendCommand.StopReceiving.class), containsInAnyOrder(SECOND, THIRD));
        answer(SECOND, stopped(10));
        answer(THIRD, stopped(12));
        record();
        answerStopped(10, 12);
        assertThat(requestedPromotions(), containsInAnyOrder(THIRD));
    }

    /** Guards against losing commits confirmed by a database without an entry that only the primary reaches. */
    @Test
    void should_not_promote_while_a_suspected_database_does_not_answer() {
        beginWithSuspectedThird();
        fail(PRIMARY);
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        assertThat(requestedPromotions(), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND));
        assertThat(
                effects,
                hasItem(new PromotionEffect.Postpone(
                        new AttemptId("vm-1", 1),
                        "stopped 1 of 2 replicas, needed 2; commits may have been confirmed by db-3 (no entry)")));
    }

    @Test
    void should_promote_without_a_suspected_database_when_the_primary_has_stepped_down() {
        suspected = Set.of(THIRD);
        begin();
        answer(PRIMARY, Optional.of(leading(10)));
        answer(SECOND, Optional.of(receiving(10)));
        answerStepDown(new CommandResult.Answered(steppedDown(11)));
        answer(SECOND, stopped(11));
        record();
        answer(SECOND, stopped(11));
        assertThat(requestedPromotions(), containsInAnyOrder(SECOND));
    }

    /** Guards against commits of a database that leads although its entry is missing. */
    @Test
    void should_announce_a_database_that_answers_that_it_leads() {
        begin();
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.of(leading(12)));
        assertThat(requestedPromotions(), is(empty()));
        assertThat(effects, hasItem(new PromotionEffect.AnnouncePrimary(new PrimaryClaim(THIRD, TERM))));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND));
    }

    @Test
    void should_not_request_a_promotion_whose_intent_could_not_be_recorded() {
        stopAt(10, 10);
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
        assertThat(recordedIntents(), is(empty()));
        assertThat(sent(BackendCommand.StepDown.class), is(empty()));
        assertThat(sent(BackendCommand.ResumeReceiving.class), containsInAnyOrder(SECOND, THIRD));
    }

    @Test
    void should_choose_a_replica_that_holds_all_acknowledged_commits() {
        acknowledged = Optional.of(LogPosition.of(3, 12));
        stopAt(10, 12);
        record();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
    }

    /** Guards against a loss that only the callers notice. */
    @Test
    void should_report_an_acknowledged_commit_that_the_promoted_log_lacks() {
        requestAt(10, 12);
        on(new PromotionEvent.RequestAccepted());
        primary = Optional.of(THIRD);
        newestTerm = TERM;
        reason = Optional.empty();
        acknowledged = Optional.of(LogPosition.of(3, 13));
        begin();
        assertThat(loggedDecisions(), not(hasItem("acknowledged commit may be lost")));
        acknowledged = Optional.of(LogPosition.of(3, 14));
        begin();
        assertThat(loggedDecisions(), hasItem("acknowledged commit may be lost"));
        begin();
        assertThat(loggedDecisions(), not(hasItem("acknowledged commit may be lost")));
    }

    @Test
    void should_log_the_entry_and_the_position_of_each_replica_that_is_counted() {
        beginWithSuspectedThird();
        fail(PRIMARY);
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        assertThat(
                effects,
                hasItem(new PromotionEffect.Log(
                        "replicas counted",
                        "attempt=vm-1/1 db-2=entry:present,stopped:3.10 db-3=entry:expired,stopped:no"
                                + " acknowledged=none")));
    }

    /** Guards against a second attempt that stops replicas while the first promotion is in progress. */
    @Test
    void should_not_begin_an_attempt_while_the_last_promotion_is_settling() {
        intent = Optional.of(new PromotionIntent(
                SECOND, TERM, PromotionIntent.Progress.TAKEN, Optional.empty(), Optional.empty(), now));
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

    /** Guards against a new holder that lets the replicas receive while a request of an earlier one may take effect. */
    @Test
    void should_not_resume_replicas_while_a_request_of_an_earlier_holder_is_open() {
        intent = Optional.of(openIntent(SECOND, Optional.of(OTHER_ATTEMPT)));
        reason = Optional.empty();
        begin();
        answer(PRIMARY, Optional.empty());
        answer(SECOND, Optional.of(receiving(10)));
        answer(THIRD, Optional.of(receiving(10)));
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        assertThat(sent(BackendCommand.ResumeReceiving.class), is(empty()));
    }

    @Test
    void should_resume_replicas_when_no_request_of_an_earlier_holder_can_take_effect() {
        intent = Optional.of(openIntent(SECOND, Optional.of(OTHER_ATTEMPT)));
        reason = Optional.empty();
        now = now.plus(PromotionState.REQUEST_PERIOD).plus(PromotionState.LATE_REQUEST_TIMEOUT);
        begin();
        assertThat(recordedProgress(), contains(PromotionIntent.Progress.REFUSED));
        intent = intent.map(PromotionIntent::refused);
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
        begin();
        assertThat(sent(BackendCommand.ReadStatus.class), containsInAnyOrder(SECOND, THIRD));
    }

    @Test
    void should_not_resume_replicas_while_the_last_promotion_is_settling() {
        intent = Optional.of(new PromotionIntent(
                SECOND, TERM, PromotionIntent.Progress.TAKEN, Optional.empty(), Optional.empty(), now));
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
        assertThat(effects, hasItem(new PromotionEffect.RenewFencingToken()));
        assertThat(recordedIntents(), is(empty()));
        on(new PromotionEvent.FencingTokenRenewed(true));
        record();
        answerStopped(12, 14);
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
}
