package org.geraniumproxy.core.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceRoute;

/**
 * A session of a caller: its values and prepared statements, its transaction, and the statement that it works on. A
 * session works on one statement at a time.
 *
 * <p>Example: {@code session.on(new SessionEvent.StatementArrived("5c0e", new Statement.Read("FETCH 1a4")), context)}
 * returns the next state with the effect {@link SessionEffect.RequestRateToken}.
 *
 * @param id number of the session on this VM
 * @param database the database name that the caller gave
 * @param key digest of the key that the caller gave
 * @param sessionState what the caller has set and prepared
 * @param transaction the open transaction
 * @param currentStatement the statement that the session works on
 * @param progress how far it has come
 * @param lastCommit position of the last commit of the session
 * @param slotRequestCount number of slots asked for
 */
public record CallerSession(
        long id,
        Optional<String> database,
        Optional<KeyDigest> key,
        SessionState sessionState,
        Optional<OpenTransaction> transaction,
        Optional<CurrentStatement> currentStatement,
        SessionProgress progress,
        Optional<LogPosition> lastCommit,
        long slotRequestCount) {
    /** Customer of callers without a known key on routes that are open to all. */
    public static final CustomerName ANONYMOUS = CustomerName.of("-");

    /** Slot requests of one session; a power of two above what any session reaches. */
    private static final int SLOT_REQUEST_BITS = 24;

    private static final SessionProgress.Idle IDLE = new SessionProgress.Idle();

    /**
     * Returns a session whose caller has not connected yet.
     *
     * @param id number of the session on this VM
     * @return the session
     */
    public static CallerSession create(long id) {
        return new CallerSession(
                id,
                Optional.empty(),
                Optional.empty(),
                SessionState.EMPTY,
                Optional.empty(),
                Optional.empty(),
                IDLE,
                Optional.empty(),
                0);
    }

    /**
     * Returns the number of the session that asked for a slot.
     *
     * @param slotRequestId number of the request for the slot
     * @return number of the session
     */
    public static long sessionIdOf(long slotRequestId) {
        return slotRequestId >> SLOT_REQUEST_BITS;
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param context what the decision may look at
     * @return the next state and its effects
     */
    public Transition<CallerSession, SessionEffect> on(SessionEvent event, SessionContext context) {
        List<SessionEffect> effects = new ArrayList<>();
        CallerSession next = switch (event) {
            case SessionEvent.ConnectReceived connect -> StatementAdmission.connect(this, connect, context, effects);
            case SessionEvent.StatementReceived arrived -> StatementAdmission.receive(this, arrived, context, effects);
            case SessionEvent.CallerDisconnected _ -> StatementInterruption.callerDisconnected(this, effects);
            case SessionEvent.RateTokenGranted _ -> StatementAdmission.rateTokenGranted(this, context, effects);
            case SessionEvent.RateTokenRefused refused -> StatementAdmission.rateTokenRefused(this, refused, effects);
            case SessionEvent.SlotGranted granted -> StatementExecution.slotGranted(this, granted, context, effects);
            case SessionEvent.SlotRefused refused -> StatementExecution.slotRefused(this, refused, context, effects);
            case SessionEvent.RepliesReceived replied -> ReplyHandler.handle(this, replied, context, effects);
            case SessionEvent.ConnectionLost lost ->
                StatementInterruption.connectionLost(this, lost.connectionId(), context, effects);
            case SessionEvent.TimePassed _ -> StatementInterruption.timePassed(this, context, effects);
        };
        return Transition.to(next, effects);
    }

    /**
     * Tells whether the caller has connected.
     *
     * @return true after the connection was accepted
     */
    public boolean isConnected() {
        return database.isPresent();
    }

    /**
     * Tells whether a statement is outstanding.
     *
     * @return true while the caller waits for an answer
     */
    public boolean hasOutstandingStatement() {
        return currentStatement.isPresent();
    }

    /**
     * Returns the group whose databases serve the next event of the session: that of its statement or transaction,
     * which keep the route that they began with, or that of the newest route.
     *
     * @param configuration the newest configuration
     * @return the group, or empty if no route has the database name of the session
     */
    public Optional<GroupName> group(ServiceConfiguration configuration) {
        return currentStatement
                .map(CurrentStatement::route)
                .or(() -> transaction.map(OpenTransaction::route))
                .or(() -> database.flatMap(configuration::route))
                .map(ServiceRoute::group);
    }

    /** Customer of the session under a configuration; empty if the key is not known and the route is not open. */
    Optional<CustomerName> customer(ServiceRoute route, ServiceConfiguration configuration) {
        Optional<CustomerName> known = key.flatMap(configuration::customer).map(ServiceCustomer::name);
        return known.isPresent() || !route.allowsAnonymous() ? known : Optional.of(ANONYMOUS);
    }

    TransactionState transactionState() {
        return transaction
                .map(open -> open.status() == OpenTransaction.Status.FAILED
                        ? TransactionState.FAILED
                        : TransactionState.OPEN)
                .orElse(TransactionState.IDLE);
    }

    long nextSlotRequestId() {
        return (id << SLOT_REQUEST_BITS) + slotRequestCount + 1;
    }

    CallerSession withConnection(String databaseName, KeyDigest keyDigest) {
        return new CallerSession(
                id,
                Optional.of(databaseName),
                Optional.of(keyDigest),
                sessionState,
                transaction,
                currentStatement,
                progress,
                lastCommit,
                0);
    }

    CallerSession with(SessionState next) {
        return new CallerSession(
                id, database, key, next, transaction, currentStatement, progress, lastCommit, slotRequestCount);
    }

    CallerSession with(SessionProgress next) {
        return new CallerSession(
                id, database, key, sessionState, transaction, currentStatement, next, lastCommit, slotRequestCount);
    }

    CallerSession with(CurrentStatement next) {
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                transaction,
                Optional.of(next),
                progress,
                lastCommit,
                slotRequestCount);
    }

    CallerSession with(OpenTransaction next) {
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                Optional.of(next),
                currentStatement,
                progress,
                lastCommit,
                slotRequestCount);
    }

    CallerSession withoutTransaction() {
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                Optional.empty(),
                currentStatement,
                progress,
                lastCommit,
                slotRequestCount);
    }

    CallerSession withoutCurrentStatement() {
        return new CallerSession(
                id, database, key, sessionState, transaction, Optional.empty(), IDLE, lastCommit, slotRequestCount);
    }

    CallerSession withLastCommit(Optional<LogPosition> position) {
        Optional<LogPosition> latest = position.isPresent() ? position : lastCommit;
        return new CallerSession(
                id, database, key, sessionState, transaction, currentStatement, progress, latest, slotRequestCount);
    }

    CallerSession withSlotRequest(Placement placement) {
        SessionProgress.AwaitingSlot awaitingSlot = new SessionProgress.AwaitingSlot(placement, nextSlotRequestId());
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                transaction,
                currentStatement,
                awaitingSlot,
                lastCommit,
                slotRequestCount + 1);
    }
}
