package org.geraniumproxy.core.caller;

import java.time.Instant;
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
 * A caller's session: its variables and prepared statements, its transaction and the statement in progress. A session
 * runs one statement at a time.
 *
 * <p>Example: {@code session.on(new SessionEvent.StatementReceived("5c0e", new Statement.Read("FETCH 1a4")), context)}
 * returns the next state with the effect {@link SessionEffect.RequestRateToken}.
 *
 * @param id number of the session on this VM
 * @param database database name that the caller connected to, or empty before it connects
 * @param key digest of the caller's key, or empty before it connects
 * @param sessionState variables and prepared statements of the session
 * @param transaction the open or failed transaction, or empty outside a transaction
 * @param currentStatement the statement in progress, or empty if the session is idle
 * @param progress progress of the current statement
 * @param lastCommit log position of the last commit of the session, or empty if none is known
 * @param requestCount number of requests for tokens and slots made so far
 * @param unusedSince time at which the caller connected, or empty after its first operation
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
        long requestCount,
        Optional<Instant> unusedSince) {
    /** Customer of callers without a known key on routes that allow anonymous access. */
    public static final CustomerName ANONYMOUS = CustomerName.of("-");

    /** Low-order bits of a request id that count the requests of one session; more than any session makes. */
    private static final int REQUEST_BITS = 24;

    private static final SessionProgress.Idle IDLE = new SessionProgress.Idle();

    /**
     * Creates a session whose caller has not connected yet.
     *
     * @param id number of the session on this VM
     * @param acceptedAt time at which the connection was accepted
     * @return the new session
     */
    public static CallerSession create(long id, Instant acceptedAt) {
        return new CallerSession(
                id,
                Optional.empty(),
                Optional.empty(),
                SessionState.EMPTY,
                Optional.empty(),
                Optional.empty(),
                IDLE,
                Optional.empty(),
                0,
                Optional.of(acceptedAt));
    }

    /**
     * Returns the id of the session that made a request for a token or a slot.
     *
     * @param requestId id of the request
     * @return id of the session
     */
    public static long sessionIdOf(long requestId) {
        return requestId >> REQUEST_BITS;
    }

    /**
     * Returns the id of the first request of a session. The following ids belong to the same session.
     *
     * @param sessionId id of the session
     * @return id of the request
     */
    public static long firstRequestIdOf(long sessionId) {
        return (sessionId << REQUEST_BITS) + 1;
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param context input of the decision
     * @return the next state and the effects to carry out
     */
    public Transition<CallerSession, SessionEffect> on(SessionEvent event, SessionContext context) {
        List<SessionEffect> effects = new ArrayList<>();
        CallerSession next = switch (event) {
            case SessionEvent.ConnectReceived connect -> StatementAdmission.connect(this, connect, context, effects);
            case SessionEvent.StatementReceived received ->
                StatementAdmission.receive(this, received, context, effects);
            case SessionEvent.CallerDisconnected _ -> StatementInterruption.callerDisconnected(this, effects);
            case SessionEvent.RateTokenGranted granted ->
                StatementAdmission.rateTokenGranted(this, granted, context, effects);
            case SessionEvent.RateTokenRefused refused ->
                StatementAdmission.rateTokenRefused(this, refused, context, effects);
            case SessionEvent.SlotGranted granted -> StatementExecution.slotGranted(this, granted, context, effects);
            case SessionEvent.SlotRefused refused -> StatementExecution.slotRefused(this, refused, context, effects);
            case SessionEvent.RepliesReceived replied -> ReplyHandler.handle(this, replied, context, effects);
            case SessionEvent.ConnectionLost lost ->
                StatementInterruption.connectionLost(this, lost.connectionId(), context, effects);
            case SessionEvent.ProcessEnding _ -> StatementInterruption.processEnding(this, context, effects);
            case SessionEvent.TimePassed _ -> StatementInterruption.timePassed(this, context, effects);
        };
        return Transition.to(afterEvent(next, event, context, effects), effects);
    }

    private static CallerSession afterEvent(
            CallerSession session, SessionEvent event, SessionContext context, List<SessionEffect> effects) {
        return switch (event) {
            case SessionEvent.CallerDisconnected _, SessionEvent.ProcessEnding _ -> session;
            default ->
                SessionDrain.afterEvent(SessionEvacuation.afterEvent(session, context, effects), context, effects);
        };
    }

    /**
     * Returns whether the connection of the caller was accepted.
     *
     * @return false before the caller connects and after a refusal
     */
    public boolean isConnected() {
        return database.isPresent();
    }

    /**
     * Returns whether a statement is in progress.
     *
     * @return true until the statement has ended
     */
    public boolean hasOutstandingStatement() {
        return currentStatement.isPresent();
    }

    /**
     * Returns whether a database works for the session, so that the end of the session would abort something.
     *
     * @return true while commands await their replies and while a transaction is open
     */
    public boolean isUsingDatabase() {
        return switch (progress) {
            case SessionProgress.PreparingConnection _, SessionProgress.RunningStatement _ -> true;
            case SessionProgress.Idle _,
                    SessionProgress.AwaitingRateToken _,
                    SessionProgress.AwaitingRetry _,
                    SessionProgress.AwaitingSlot _ -> transactionState() == TransactionState.OPEN;
        };
    }

    /**
     * Returns the database group of the session. A statement or transaction in progress keeps the route that it started
     * with; otherwise the route comes from the given configuration.
     *
     * @param configuration the latest configuration
     * @return the group, or empty if no route has the database name of the session
     */
    public Optional<GroupName> group(ServiceConfiguration configuration) {
        return currentStatement
                .map(CurrentStatement::route)
                .or(() -> transaction.map(OpenTransaction::route))
                .or(() -> database.flatMap(configuration::route))
                .map(ServiceRoute::group);
    }

    /** Returns the customer of the session, or empty if the key is unknown and the route requires one. */
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

    long nextRequestId() {
        return (id << REQUEST_BITS) + requestCount + 1;
    }

    CallerSession withConnection(String databaseName, KeyDigest keyDigest, Instant now) {
        return new CallerSession(
                id,
                Optional.of(databaseName),
                Optional.of(keyDigest),
                sessionState,
                transaction,
                currentStatement,
                progress,
                lastCommit,
                0,
                Optional.of(now));
    }

    CallerSession withOperation() {
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                transaction,
                currentStatement,
                progress,
                lastCommit,
                requestCount,
                Optional.empty());
    }

    CallerSession with(SessionState next) {
        return new CallerSession(
                id,
                database,
                key,
                next,
                transaction,
                currentStatement,
                progress,
                lastCommit,
                requestCount,
                unusedSince);
    }

    CallerSession with(SessionProgress next) {
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                transaction,
                currentStatement,
                next,
                lastCommit,
                requestCount,
                unusedSince);
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
                requestCount,
                unusedSince);
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
                requestCount,
                unusedSince);
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
                requestCount,
                unusedSince);
    }

    CallerSession withoutCurrentStatement() {
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                transaction,
                Optional.empty(),
                IDLE,
                lastCommit,
                requestCount,
                unusedSince);
    }

    CallerSession withLastCommit(Optional<LogPosition> position) {
        Optional<LogPosition> latest = position.isPresent() ? position : lastCommit;
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                transaction,
                currentStatement,
                progress,
                latest,
                requestCount,
                unusedSince);
    }

    CallerSession withTokenRequest() {
        return withRequest(new SessionProgress.AwaitingRateToken(nextRequestId()));
    }

    CallerSession withSlotRequest(Placement placement) {
        return withRequest(new SessionProgress.AwaitingSlot(placement, nextRequestId()));
    }

    private CallerSession withRequest(SessionProgress awaiting) {
        return new CallerSession(
                id,
                database,
                key,
                sessionState,
                transaction,
                currentStatement,
                awaiting,
                lastCommit,
                requestCount + 1,
                unusedSince);
    }
}
