package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.CallerSessionFixture.PRIMARY;
import static org.geraniumproxy.core.caller.CallerSessionFixture.REPLICA;
import static org.geraniumproxy.core.caller.CallerSessionFixture.completed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.routing.EvacuationPhase;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.Statement;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements outside the allowed regions, and against statements, transactions and connections that
 * outlast the evacuation of their failure domain.
 */
class CallerSession_evacuation_Test {
    private static final Statement BEGIN = new Statement.Begin(false);
    private static final Statement WRITE = new Statement.Write("PUT 1 x");
    private static final Statement READ = new Statement.Read("FETCH 1");
    private static final Statement COMMIT = new Statement.Commit();

    private final CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.READ_YOUR_WRITES)
            .recordsPrimaryPosition(LogPosition.of(3, 9));

    @Test
    void should_refuse_a_statement_without_an_allowed_database_before_it_takes_a_token() {
        fixture.allowsRegions(Set.of("cusco")).sends(WRITE);
        assertThat(fixture.error(), is(ErrorCode.REGION_NOT_ALLOWED));
        assertThat(fixture.hasEffect(SessionEffect.RequestRateToken.class), is(false));
        assertThat(fixture.sends(BEGIN).error(), is(ErrorCode.REGION_NOT_ALLOWED));
    }

    @Test
    void should_send_a_read_only_to_an_allowed_region() {
        fixture.allowsRegions(Set.of("cusco")).sends(READ);
        assertThat(fixture.requestedDatabase(), is(Optional.of(REPLICA)));
        CallerSessionFixture other = CallerSessionFixture.connectedWith(Consistency.READ_YOUR_WRITES)
                .recordsPrimaryPosition(LogPosition.of(3, 9))
                .allowsRegions(Set.of("lima"))
                .sends(READ);
        assertThat(other.requestedDatabase(), is(Optional.of(PRIMARY)));
    }

    /** Guards against a region that is no longer allowed when a waiting statement is placed. */
    @Test
    void should_refuse_a_statement_whose_region_is_withdrawn_while_it_waits() {
        fixture.sends(WRITE).allowsRegions(Set.of("nowhere"));
        long slot =
                fixture.effect(SessionEffect.RequestSlot.class).orElseThrow().slotRequestId();
        fixture.on(new SessionEvent.SlotRefused(slot, "the database left", true));
        fixture.advance(StatementExecution.RETRY_DELAY).on(new SessionEvent.TimePassed());
        assertThat(fixture.error(), is(ErrorCode.REGION_NOT_ALLOWED));
    }

    /** Guards against a transaction that goes on in a region from which its route was withdrawn. */
    @Test
    void should_roll_back_a_transaction_whose_region_is_withdrawn() {
        transactionWithOneWrite().allowsRegions(Set.of("cusco")).sends(COMMIT);
        assertThat(fixture.error(), is(ErrorCode.REGION_NOT_ALLOWED));
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .orElseThrow()
                        .rollbackRequired(),
                is(true));
    }

    @Test
    void should_refuse_at_once_what_only_the_closed_primary_can_run() {
        fixture.evacuatesPrimary(EvacuationPhase.CLOSED);
        assertThat(fixture.sends(WRITE).error(), is(ErrorCode.EVACUATED));
        assertThat(fixture.sends(BEGIN).error(), is(ErrorCode.EVACUATED));
        assertThat(fixture.sends(READ).requestedDatabase(), is(Optional.of(REPLICA)));
    }

    @Test
    void should_refuse_a_read_at_once_that_no_replica_can_serve_any_more() {
        fixture.evacuatesPrimary(EvacuationPhase.CLOSED).advance(Duration.ofSeconds(2));
        assertThat(fixture.sends(READ).error(), is(ErrorCode.EVACUATED));
    }

    @Test
    void should_let_an_open_transaction_go_on_until_its_failure_domain_is_closed() {
        transactionWithOneWrite().evacuatesPrimary(EvacuationPhase.REPLACING).on(new SessionEvent.TimePassed());
        fixture.sends(COMMIT).grantsSlot().receivesReplies(completed(TransactionState.IDLE, 12));
        assertThat(fixture.error() == null, is(true));
    }

    @Test
    void should_roll_back_an_open_transaction_when_its_failure_domain_is_closed() {
        transactionWithOneWrite().evacuatesPrimary(EvacuationPhase.CLOSED).on(new SessionEvent.TimePassed());
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .orElseThrow()
                        .rollbackRequired(),
                is(true));
        assertThat(fixture.sends(COMMIT).error(), is(ErrorCode.ROLLED_BACK));
    }

    @Test
    void should_roll_back_an_open_transaction_also_while_the_vm_stops() {
        transactionWithOneWrite().startsDraining().evacuatesPrimary(EvacuationPhase.CLOSED);
        fixture.on(new SessionEvent.TimePassed());
        assertThat(fixture.hasEffect(SessionEffect.CloseCallerConnection.class), is(false));
        assertThat(fixture.sends(COMMIT).error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.hasEffect(SessionEffect.CloseCallerConnection.class), is(true));
    }

    /** Guards against a write that is reported as not run although it was sent. */
    @Test
    void should_end_a_statement_in_progress_truthfully_at_the_end_of_the_evacuation() {
        fixture.sends(WRITE).grantsSlot().evacuatesPrimary(EvacuationPhase.CLOSED);
        fixture.on(new SessionEvent.TimePassed());
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        fixture.evacuatesPrimary(EvacuationPhase.ENDED).on(new SessionEvent.TimePassed());
        assertThat(fixture.error(), is(ErrorCode.IN_DOUBT));
        assertThat(fixture.hasEffect(SessionEffect.CloseConnection.class), is(true));
        assertThat(fixture.hasEffect(SessionEffect.ReportObservation.class), is(false));
    }

    @Test
    void should_run_a_single_read_elsewhere_at_the_end_of_the_evacuation() {
        fixture.allowsRegions(Set.of("lima")).sends(READ).grantsSlot().allowsRegions(Set.of());
        fixture.evacuatesPrimary(EvacuationPhase.ENDED).on(new SessionEvent.TimePassed());
        assertThat(fixture.hasEffect(SessionEffect.CloseConnection.class), is(true));
        fixture.advance(StatementExecution.RETRY_DELAY).on(new SessionEvent.TimePassed());
        assertThat(fixture.requestedDatabase(), is(Optional.of(REPLICA)));
    }

    private CallerSessionFixture transactionWithOneWrite() {
        fixture.sends(BEGIN).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 9));
        return fixture.sends(WRITE).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 11));
    }
}
