package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.geraniumproxy.core.service.ServiceRoute;
import org.geraniumproxy.core.statement.Statement;
import org.geraniumproxy.core.statement.StatementTemplate;

/** Admits connections and statements, and answers statements that need no database. */
final class StatementAdmission {
    private static final StatementResult.Completed UNSIGNED = new StatementResult.Completed(StatementResult.UNSIGNED);

    private StatementAdmission() {}

    static CallerSession connect(
            CallerSession session,
            SessionEvent.ConnectReceived connect,
            SessionContext context,
            List<SessionEffect> effects) {
        ServiceConfiguration configuration = context.view().configuration();
        CallerSession connected = session.withConnection(connect.database(), connect.key(), context.now());
        Optional<ServiceRoute> route = configuration.route(connect.database());
        Optional<StatementResult.Failed> refusal = configuration.isKnown()
                ? refusal(route, customer(connected, route, configuration))
                : Optional.of(new StatementResult.Failed(ErrorCode.BUSY, "no configuration is known yet"));
        if (refusal.isEmpty()) {
            effects.add(new SessionEffect.Accept());
            return connected;
        }
        effects.add(new SessionEffect.Log(
                "-", "connection refused", describe(refusal.get()) + " version=" + configuration.version()));
        effects.add(new SessionEffect.Reject(refusal.get()));
        return session;
    }

    static CallerSession receive(
            CallerSession session,
            SessionEvent.StatementReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        Optional<OpenTransaction> open = session.transaction();
        return open.isPresent()
                ? handleInTransaction(session, open.get(), received, context, effects)
                : handleOutsideTransaction(session, received, context, effects);
    }

    static CallerSession rateTokenGranted(
            CallerSession session,
            SessionEvent.RateTokenGranted granted,
            SessionContext context,
            List<SessionEffect> effects) {
        if (!awaitsToken(session, granted.tokenRequestId())) {
            return session;
        }
        CurrentStatement current = session.currentStatement().orElseThrow();
        if (current.statement() instanceof Statement.Begin begin) {
            return beginEagerly(session, current, begin, context, effects);
        }
        return StatementExecution.place(session, context, effects);
    }

    /**
     * Answers a begin at once and begins the transaction at a database in the background, so that the round trip and
     * the opening of a connection do not add to the latency of the first statement. If that fails, the first statement
     * begins the transaction.
     */
    private static CallerSession beginEagerly(
            CallerSession session,
            CurrentStatement current,
            Statement.Begin begin,
            SessionContext context,
            List<SessionEffect> effects) {
        OpenTransaction open =
                OpenTransaction.begin(current.route(), current.customer(), begin.readOnly(), context.now());
        CallerSession begun = session.with(open);
        effects.add(new SessionEffect.Reply(List.of(), UNSIGNED, begun.transactionState(), Optional.empty()));
        return StatementExecution.place(begun.with(current.markAnswered()), context, effects);
    }

    static CallerSession rateTokenRefused(
            CallerSession session,
            SessionEvent.RateTokenRefused refused,
            SessionContext context,
            List<SessionEffect> effects) {
        if (!awaitsToken(session, refused.tokenRequestId())) {
            return session;
        }
        // The refusal concerns the former customer, which was over its rate or was removed.
        Optional<CustomerChange> change =
                CustomerChange.of(session, context).filter(CustomerChange.Moved.class::isInstance);
        if (change.isPresent()) {
            return StatementReassignment.apply(session, change.get(), context, effects);
        }
        String requestId =
                session.currentStatement().map(CurrentStatement::requestId).orElse("-");
        effects.add(new SessionEffect.Log(requestId, "over the rate", "cause=\"" + refused.cause() + "\""));
        return StatementCompletion.fail(
                StatementCompletion.failTransaction(session),
                ErrorCode.BUSY,
                "over the rate; retry after " + refused.retryAfter().toMillis() + " ms",
                effects);
    }

    /** Returns whether the session awaits this token, and not that of a later statement. */
    private static boolean awaitsToken(CallerSession session, long tokenRequestId) {
        return session.progress() instanceof SessionProgress.AwaitingRateToken awaiting
                && awaiting.tokenRequestId() == tokenRequestId;
    }

    private static CallerSession handleOutsideTransaction(
            CallerSession session,
            SessionEvent.StatementReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        return switch (received.statement()) {
            case Statement.Begin _, Statement.Read _, Statement.Write _, Statement.Execute _ ->
                admit(session.withOperation(), received, context, effects);
            case Statement.Commit _, Statement.Rollback _ ->
                answer(session, failed(ErrorCode.MALFORMED, "no transaction is open"), effects);
            case Statement.SetVariable _, Statement.Prepare _, Statement.Deallocate _, Statement.Malformed _ ->
                changeSessionState(session, received.statement(), effects);
        };
    }

    private static CallerSession handleInTransaction(
            CallerSession session,
            OpenTransaction open,
            SessionEvent.StatementReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        return switch (open.status()) {
            case FAILED_UNREPORTED -> reportRollback(session, open, received.statement(), effects);
            case FAILED -> handleInFailedTransaction(session, received.statement(), effects);
            case RUNNING -> continueTransaction(session, open, received, context, effects);
        };
    }

    private static CallerSession reportRollback(
            CallerSession session, OpenTransaction open, Statement statement, List<SessionEffect> effects) {
        StatementResult.Failed rolledBack = failed(ErrorCode.ROLLED_BACK, "the transaction was rolled back");
        return switch (statement) {
            case Statement.Rollback _ -> answer(session.withoutTransaction(), UNSIGNED, effects);
            case Statement.Commit _ -> answer(session.withoutTransaction(), rolledBack, effects);
            default -> answer(session.with(open.withFailure(OpenTransaction.Status.FAILED)), rolledBack, effects);
        };
    }

    private static CallerSession handleInFailedTransaction(
            CallerSession session, Statement statement, List<SessionEffect> effects) {
        return switch (statement) {
            case Statement.Rollback _ -> answer(session.withoutTransaction(), UNSIGNED, effects);
            case Statement.Commit _ ->
                answer(
                        session.withoutTransaction(),
                        failed(ErrorCode.ROLLED_BACK, "the transaction had failed"),
                        effects);
            default -> answer(session, failed(ErrorCode.MALFORMED, "the transaction has failed"), effects);
        };
    }

    private static CallerSession continueTransaction(
            CallerSession session,
            OpenTransaction open,
            SessionEvent.StatementReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        return switch (received.statement()) {
            case Statement.Begin _ -> {
                CallerSession rolledBack =
                        StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED, effects);
                yield answer(rolledBack, failed(ErrorCode.MALFORMED, "a transaction is open already"), effects);
            }
            case Statement.Rollback _ -> {
                CallerSession rolledBack =
                        StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED, effects);
                yield answer(rolledBack.withoutTransaction(), UNSIGNED, effects);
            }
            case Statement.SetVariable _, Statement.Prepare _, Statement.Deallocate _, Statement.Malformed _ ->
                changeSessionState(session.with(open.withIdleSince(context.now())), received.statement(), effects);
            case Statement.Commit _, Statement.Read _, Statement.Write _, Statement.Execute _ ->
                runInTransaction(session, open, received, context, effects);
        };
    }

    private static CallerSession runInTransaction(
            CallerSession session,
            OpenTransaction open,
            SessionEvent.StatementReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        Optional<StatementTemplate> template = templateOf(session, received.statement());
        if (received.statement() instanceof Statement.Execute execute && template.isEmpty()) {
            CallerSession rolledBack = StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED, effects);
            return answer(rolledBack, unknownStatement(execute.name()), effects);
        }
        CallerSession started =
                start(session, received, template, open.route(), open.customer(), context.now(), effects);
        return StatementExecution.place(started, context, effects);
    }

    private static CallerSession admit(
            CallerSession session,
            SessionEvent.StatementReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        ServiceConfiguration configuration = context.view().configuration();
        Optional<ServiceRoute> route = session.database().flatMap(configuration::route);
        Optional<CustomerName> customer = customer(session, route, configuration);
        Optional<StatementResult.Failed> refusal = SessionDrain.refusal(received.statement(), context)
                .or(() -> refusal(route, customer))
                .or(() -> placementRefusal(route.get(), customer.get(), received.statement(), context));
        if (refusal.isPresent()) {
            effects.add(new SessionEffect.Log(
                    received.requestId(), "refused", describe(refusal.get()) + " version=" + configuration.version()));
            return answer(session, refusal.get(), effects);
        }
        Optional<StatementTemplate> template = templateOf(session, received.statement());
        if (received.statement() instanceof Statement.Execute execute && template.isEmpty()) {
            return answer(session, unknownStatement(execute.name()), effects);
        }
        CallerSession started = start(session, received, template, route.get(), customer.get(), context.now(), effects);
        CallerSession awaiting = started.withTokenRequest();
        effects.add(new SessionEffect.RequestRateToken(
                started.nextRequestId(), customer.get(), route.get().maximumTokenWait()));
        return awaiting;
    }

    /** Refuses a statement before it takes a token if no database may run it. */
    private static Optional<StatementResult.Failed> placementRefusal(
            ServiceRoute route, CustomerName customer, Statement statement, SessionContext context) {
        boolean mayUseReplica = switch (statement) {
            case Statement.Begin begin -> begin.readOnly();
            case Statement.Write _ -> false;
            default -> true;
        };
        return PlacementRefusal.of(route, customer, mayUseReplica, context.view());
    }

    private static CallerSession start(
            CallerSession session,
            SessionEvent.StatementReceived received,
            Optional<StatementTemplate> template,
            ServiceRoute route,
            CustomerName customer,
            Instant now,
            List<SessionEffect> effects) {
        Instant deadline = now.plus(route.statementTimeout());
        effects.add(new SessionEffect.WakeAt(deadline));
        return session.with(new CurrentStatement(
                received.requestId(),
                received.statement(),
                template,
                route,
                customer,
                now,
                deadline,
                0,
                Set.of(),
                false));
    }

    private static Optional<CustomerName> customer(
            CallerSession session, Optional<ServiceRoute> route, ServiceConfiguration configuration) {
        return route.flatMap(known -> session.customer(known, configuration));
    }

    private static Optional<StatementResult.Failed> refusal(
            Optional<ServiceRoute> route, Optional<CustomerName> customer) {
        if (route.isEmpty()) {
            return Optional.of(failed(ErrorCode.UNKNOWN_DATABASE, "no route has this database name"));
        }
        return customer.isPresent()
                ? Optional.empty()
                : Optional.of(failed(ErrorCode.UNKNOWN_KEY, "no customer holds this key"));
    }

    private static CallerSession changeSessionState(
            CallerSession session, Statement statement, List<SessionEffect> effects) {
        SessionState state = session.sessionState();
        return switch (statement) {
            case Statement.SetVariable variable ->
                answer(session.with(state.withVariable(variable.name(), variable.value())), UNSIGNED, effects);
            case Statement.Prepare prepare
            when state.preparedStatements().containsKey(prepare.name()) ->
                answer(
                        session,
                        failed(ErrorCode.MALFORMED, "the name " + prepare.name() + " is prepared already"),
                        effects);
            case Statement.Prepare prepare ->
                answer(
                        session.with(state.withPreparedStatement(prepare.name(), prepare.template())),
                        UNSIGNED,
                        effects);
            case Statement.Deallocate deallocate
            when state.preparedStatements().containsKey(deallocate.name()) ->
                answer(session.with(state.withoutPreparedStatement(deallocate.name())), UNSIGNED, effects);
            case Statement.Deallocate deallocate -> answer(session, unknownStatement(deallocate.name()), effects);
            case Statement.Malformed malformed ->
                answer(session, failed(ErrorCode.MALFORMED, malformed.reason()), effects);
            case Statement.Begin _,
                    Statement.Commit _,
                    Statement.Rollback _,
                    Statement.Read _,
                    Statement.Write _,
                    Statement.Execute _ -> throw new IllegalArgumentException("statement needs a database");
        };
    }

    private static Optional<StatementTemplate> templateOf(CallerSession session, Statement statement) {
        return statement instanceof Statement.Execute execute
                ? Optional.ofNullable(
                        session.sessionState().preparedStatements().get(execute.name()))
                : Optional.empty();
    }

    private static StatementResult.Failed unknownStatement(String name) {
        return failed(ErrorCode.UNKNOWN_STATEMENT, "no statement is prepared as " + name);
    }

    private static CallerSession answer(CallerSession session, StatementResult result, List<SessionEffect> effects) {
        return StatementCompletion.finish(session, List.of(), result, Optional.empty(), effects);
    }

    private static StatementResult.Failed failed(ErrorCode code, String text) {
        return new StatementResult.Failed(code, text);
    }

    private static String describe(StatementResult.Failed failure) {
        return "code=" + failure.code() + " reason=\"" + failure.text() + "\"";
    }
}
