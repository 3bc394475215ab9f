package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/** Ends statements and transactions and releases their connections. */
final class StatementCompletion {
    private StatementCompletion() {}

    static CallerSession finish(
            CallerSession session,
            List<String> rows,
            StatementResult result,
            Optional<LogPosition> position,
            List<SessionEffect> effects) {
        effects.add(new SessionEffect.Reply(rows, result, session.transactionState(), position));
        return session.withoutCurrentStatement();
    }

    static CallerSession fail(CallerSession session, ErrorCode code, String text, List<SessionEffect> effects) {
        if (session.currentStatement().map(CurrentStatement::answered).orElse(false)) {
            return deferBeginToFirstStatement(session, text, effects);
        }
        String requestId =
                session.currentStatement().map(CurrentStatement::requestId).orElse("-");
        int tries = session.currentStatement().map(CurrentStatement::tries).orElse(0);
        effects.add(new SessionEffect.Log(
                requestId, "failed", "code=" + code + " tries=" + tries + " reason=\"" + text + "\""));
        return finish(session, List.of(), new StatementResult.Failed(code, text), Optional.empty(), effects);
    }

    /**
     * Ends a begin that failed at the database after it was answered. The first statement then begins the transaction.
     */
    static CallerSession deferBeginToFirstStatement(CallerSession session, String text, List<SessionEffect> effects) {
        effects.add(new SessionEffect.Log(
                session.currentStatement().orElseThrow().requestId(),
                "begin deferred to the first statement",
                "reason=\"" + text + "\""));
        OpenTransaction open = session.transaction().orElseThrow();
        return session.with(open.restarted()).withoutCurrentStatement();
    }

    /** Fails a statement that was not sent and rolls back its transaction. */
    static CallerSession failWithRollback(
            CallerSession session, ErrorCode code, String text, List<SessionEffect> effects) {
        CallerSession released =
                session.transaction().isPresent() ? rollBack(session, OpenTransaction.Status.FAILED, effects) : session;
        return fail(released, code, text, effects);
    }

    /** Rolls back the transaction of a statement that was not sent, and answers that nothing of it is kept. */
    static CallerSession failRolledBack(CallerSession session, String text, List<SessionEffect> effects) {
        boolean commits = session.currentStatement().orElseThrow().isCommit();
        CallerSession rolledBack = rollBack(session, OpenTransaction.Status.FAILED, effects);
        return fail(commits ? rolledBack.withoutTransaction() : rolledBack, ErrorCode.ROLLED_BACK, text, effects);
    }

    /** Returns the connection of a transaction that has run no statement, which can then begin at any database. */
    static CallerSession unpin(CallerSession session, List<SessionEffect> effects) {
        return session.transaction()
                .map(open -> {
                    returnPinnedConnection(open, effects);
                    return session.with(open.unpinned());
                })
                .orElse(session);
    }

    /** Rolls back the transaction and returns its connection to the pool. */
    static CallerSession rollBack(CallerSession session, OpenTransaction.Status status, List<SessionEffect> effects) {
        OpenTransaction open = session.transaction().orElseThrow();
        returnPinnedConnection(open, effects);
        return session.with(open.withFailure(status));
    }

    private static void returnPinnedConnection(OpenTransaction open, List<SessionEffect> effects) {
        open.pinnedConnection()
                .ifPresent(pinned -> effects.add(new SessionEffect.ReturnConnection(
                        pinned.placement().database(), pinned.connectionId(), true)));
    }

    static CallerSession failTransaction(CallerSession session) {
        boolean commits =
                session.currentStatement().map(CurrentStatement::isCommit).orElse(false);
        if (commits) {
            return session.withoutTransaction();
        }
        return session.transaction()
                .map(open -> session.with(open.withFailure(OpenTransaction.Status.FAILED)))
                .orElse(session);
    }
}
