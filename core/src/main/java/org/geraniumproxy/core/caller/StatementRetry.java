package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.List;
import org.geraniumproxy.core.identity.BackendServerName;

/** Retries statements that did not run, up to {@link StatementExecution#MAXIMUM_TRIES} placements. */
final class StatementRetry {
    private StatementRetry() {}

    /** Retries a statement that was not sent, or fails it if earlier statements of its transaction have run. */
    static CallerSession retryOrRollBack(
            CallerSession session,
            ErrorCode code,
            String text,
            BackendServerName refusingDatabase,
            SessionContext context,
            List<SessionEffect> effects) {
        if (session.transaction().map(OpenTransaction::hasRunStatement).orElse(false)) {
            return StatementCompletion.fail(
                    StatementCompletion.failTransaction(session), ErrorCode.ROLLED_BACK, text, effects);
        }
        CallerSession unpinned =
                session.transaction().map(open -> session.with(open.unpinned())).orElse(session);
        ErrorCode reportedCode = code.isNotRun() ? code : ErrorCode.BUSY;
        return retryExcluding(
                unpinned, new StatementResult.Failed(reportedCode, text), refusingDatabase, context, effects);
    }

    static CallerSession retryExcluding(
            CallerSession session,
            StatementResult.Failed failure,
            BackendServerName refusingDatabase,
            SessionContext context,
            List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        boolean otherDatabaseMayServe =
                failure.code() == ErrorCode.LAGGING || failure.code() == ErrorCode.WRONG_DATABASE;
        CallerSession next = otherDatabaseMayServe ? session.with(current.excluding(refusingDatabase)) : session;
        return retry(next, failure.code(), failure.text(), context, effects);
    }

    static CallerSession retry(
            CallerSession session, ErrorCode code, String text, SessionContext context, List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        Instant retryAt = context.now().plus(StatementExecution.RETRY_DELAY);
        if (current.tries() >= StatementExecution.MAXIMUM_TRIES || !retryAt.isBefore(current.deadline())) {
            CallerSession failed =
                    session.transaction().isPresent() ? StatementCompletion.failTransaction(session) : session;
            return StatementCompletion.fail(failed, code, text, effects);
        }
        effects.add(new SessionEffect.Log(
                current.requestId(),
                "retry",
                "code=" + code + " tries=" + current.tries() + " reason=\"" + text + "\""));
        if (code == ErrorCode.LAGGING) {
            return StatementExecution.place(session, context, effects);
        }
        return StatementExecution.scheduleRetry(session, current, context.now(), effects);
    }
}
