package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.CallerSessionFixture.completed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.directory.PromotionFence;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.Statement;
import org.junit.jupiter.api.Test;

/** Guards against callers that are told of a commit which the log of a promotion in progress lacks. */
class CallerSession_promotion_Test {
    private static final Statement BEGIN = new Statement.Begin(false);
    private static final Statement WRITE = new Statement.Write("PUT 1 x");
    private static final Statement READ = new Statement.Read("FETCH 1");
    private static final Statement COMMIT = new Statement.Commit();

    private final CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY);

    @Test
    void should_not_acknowledge_a_write_beyond_the_chosen_log() {
        fixture.sends(WRITE)
                .grantsSlot()
                .learnsPromotion(openAt(25))
                .receivesReplies(completed(TransactionState.IDLE, 26));

        assertThat(fixture.error(), is(ErrorCode.IN_DOUBT));
        assertThat(fixture.hasEffect(SessionEffect.RecordAcknowledgedCommit.class), is(false));
        assertThat(fixture.hasEffect(SessionEffect.ReleaseSlot.class), is(true));
    }

    @Test
    void should_acknowledge_a_write_that_the_chosen_log_holds() {
        fixture.sends(WRITE)
                .grantsSlot()
                .learnsPromotion(openAt(25))
                .receivesReplies(completed(TransactionState.IDLE, 25));

        assertThat(fixture.error() == null, is(true));
    }

    @Test
    void should_not_acknowledge_a_transaction_beyond_the_chosen_log() {
        transactionWithOneWrite().sends(COMMIT).grantsSlot().learnsPromotion(openAt(25));
        fixture.receivesReplies(completed(TransactionState.IDLE, 26));

        assertThat(fixture.error(), is(ErrorCode.IN_DOUBT));
        assertThat(fixture.transactionState(), is(TransactionState.IDLE));
    }

    @Test
    void should_answer_a_read_while_a_promotion_is_open() {
        fixture.learnsPromotion(openAt(25)).sends(READ).grantsSlot();

        assertThat(fixture.sentCommands().isEmpty(), is(false));
    }

    @Test
    void should_send_a_write_that_waited_once_the_promotion_is_settled() {
        fixture.learnsPromotion(openAt(25)).sends(WRITE);
        assertThat(fixture.requestedDatabase(), is(Optional.empty()));

        fixture.learnsPromotion(PromotionFences.NONE)
                .advance(StatementExecution.RETRY_DELAY)
                .on(new SessionEvent.TimePassed());
        assertThat(fixture.requestedDatabase(), is(Optional.of(CallerSessionFixture.PRIMARY)));
    }

    @Test
    void should_refuse_a_write_at_once_if_the_promotion_has_been_open_for_long() {
        fixture.learnsPromotion(openAt(25)).advance(PromotionHold.MAXIMUM_WAIT).sends(WRITE);

        assertThat(fixture.error(), is(ErrorCode.BUSY));
        assertThat(fixture.transactionState(), is(TransactionState.IDLE));
    }

    @Test
    void should_not_send_a_write_that_got_its_slot_after_the_promotion_became_known() {
        fixture.sends(WRITE).learnsPromotion(openAt(25)).grantsSlot();

        assertThat(fixture.sentCommands(), is(empty()));
        assertThat(fixture.hasEffect(SessionEffect.ReleaseSlot.class), is(true));
        assertThat(fixture.hasEffect(SessionEffect.ReturnConnection.class), is(true));
    }

    @Test
    void should_roll_a_transaction_back_instead_of_committing_it() {
        transactionWithOneWrite().learnsPromotion(openAt(25)).sends(COMMIT);

        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.transactionState(), is(TransactionState.IDLE));
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .orElseThrow()
                        .rollbackRequired(),
                is(true));
    }

    @Test
    void should_commit_a_transaction_without_writes_while_a_promotion_is_open() {
        fixture.sends(BEGIN).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
        fixture.sends(READ).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
        fixture.learnsPromotion(openAt(25)).sends(COMMIT).grantsSlot();

        assertThat(fixture.sentCommands().isEmpty(), is(false));
    }

    private CallerSessionFixture transactionWithOneWrite() {
        fixture.sends(BEGIN).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
        return fixture.sends(WRITE).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
    }

    private PromotionFences openAt(long position) {
        PromotionFence fence =
                new PromotionFence("vm-1/1", CallerSessionFixture.REPLICA, Optional.of(LogPosition.of(3, position)));
        Instant learnedAt = fixture.now();
        return new PromotionFences(List.of(fence), Optional.of(learnedAt));
    }
}
