package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.statement.Statement;

/**
 * Ends the sessions of a VM that stops. A session is closed together with the answer after which its caller is owed
 * nothing, so that a caller that notices the end of its connection sends no statement in between. A statement that
 * crosses the close is not received.
 */
final class SessionDrain {
    /**
     * Time after its connection in which a session without a statement is kept: its caller is about to send the first
     * one, which would cross the close of the connection.
     */
    static final Duration FIRST_STATEMENT_WAIT = Duration.ofMillis(300);

    static final String STOPPING = "the VM is stopping";

    private SessionDrain() {}

    /** Returns the refusal of a statement that arrives too late to be answered with a result. */
    static Optional<StatementResult.Failed> refusal(Statement statement, SessionContext context) {
        return context.view()
                .drain()
                .filter(drain -> isTooLate(statement, drain, context.now()))
                .map(_ -> new StatementResult.Failed(ErrorCode.BUSY, STOPPING));
    }

    /** Returns whether every statement must be answered at once. */
    static boolean areAnswersDue(SessionContext context) {
        return context.view()
                .drain()
                .filter(drain -> drain.areAnswersDue(context.now()))
                .isPresent();
    }

    private static boolean isTooLate(Statement statement, CallerDrain drain, Instant now) {
        return statement instanceof Statement.Begin ? drain.mustTransactionsEnd(now) : drain.areAnswersDue(now);
    }

    /** Ends what is due after an event. Does nothing unless the VM is stopping. */
    static CallerSession afterEvent(CallerSession session, SessionContext context, List<SessionEffect> effects) {
        return context.view()
                .drain()
                .filter(drain -> drain.hasStarted(context.now()))
                .map(drain -> end(session, drain, context.now(), effects))
                .orElse(session);
    }

    private static CallerSession end(
            CallerSession session, CallerDrain drain, Instant now, List<SessionEffect> effects) {
        CallerSession answered = drain.areAnswersDue(now) && session.hasOutstandingStatement()
                ? StatementInterruption.answerWithoutResult(session, STOPPING, effects)
                : session;
        if (answered.hasOutstandingStatement()) {
            return answered;
        }
        CallerSession next = answered.transaction()
                .filter(open -> isRunning(open) && drain.mustTransactionsEnd(now))
                .map(open -> rollBack(answered, effects))
                .orElse(answered);
        if (drain.areAnswersDue(now) || isOwedNothing(next, drain, now)) {
            effects.add(new SessionEffect.CloseCallerConnection());
        }
        return next;
    }

    private static boolean isRunning(OpenTransaction open) {
        return open.status() == OpenTransaction.Status.RUNNING;
    }

    /** Rolls an idle transaction back. The caller learns of it with its next statement. */
    private static CallerSession rollBack(CallerSession session, List<SessionEffect> effects) {
        effects.add(new SessionEffect.Log("-", "transaction rolled back", "reason=\"" + STOPPING + "\""));
        return StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED_UNREPORTED, effects);
    }

    private static boolean isOwedNothing(CallerSession session, CallerDrain drain, Instant now) {
        if (session.transaction().isPresent()) {
            boolean isReported = session.transaction().get().status() == OpenTransaction.Status.FAILED;
            return isReported && drain.mustTransactionsEnd(now);
        }
        return session.unusedSince()
                .map(since -> !now.isBefore(since.plus(FIRST_STATEMENT_WAIT)))
                .orElse(true);
    }
}
