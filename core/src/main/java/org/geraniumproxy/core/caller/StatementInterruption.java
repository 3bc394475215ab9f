package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Ends statements after a lost connection, a passed deadline, a disconnected caller or at a stop. */
final class StatementInterruption {
    private StatementInterruption() {}

    static CallerSession connectionLost(
            CallerSession session, long connectionId, SessionContext context, List<SessionEffect> effects) {
        return switch (session.progress()) {
            case SessionProgress.PreparingConnection preparing -> {
                SlotEffects.closeSlot(preparing.slot(), effects);
                yield StatementRetry.retryOrRollBack(
                        session,
                        ErrorCode.BUSY,
                        "the connection was lost before the statement was sent",
                        preparing.slot().placement().database(),
                        context,
                        effects);
            }
            case SessionProgress.RunningStatement running -> {
                SlotEffects.closeSlot(running.slot(), effects);
                yield connectionLostWhileRunning(session, running.slot(), context, effects);
            }
            case SessionProgress.AwaitingSlot waiting -> {
                effects.add(
                        new SessionEffect.CancelSlotRequest(waiting.placement().database(), waiting.slotRequestId()));
                effects.add(
                        new SessionEffect.CloseConnection(waiting.placement().database(), connectionId));
                yield StatementCompletion.fail(
                        StatementCompletion.failTransaction(session),
                        ErrorCode.ROLLED_BACK,
                        "the connection was lost",
                        effects);
            }
            case SessionProgress.Idle _, SessionProgress.AwaitingRateToken _, SessionProgress.AwaitingRetry _ ->
                session.transaction()
                        .filter(open -> open.pinnedConnection().isPresent())
                        .map(open -> {
                            effects.add(new SessionEffect.CloseConnection(
                                    open.pinnedConnection().get().placement().database(), connectionId));
                            return session.with(open.withFailure(OpenTransaction.Status.FAILED_UNREPORTED));
                        })
                        .orElse(session);
        };
    }

    private static CallerSession connectionLostWhileRunning(
            CallerSession session, SessionProgress.HeldSlot slot, SessionContext context, List<SessionEffect> effects) {
        SlotEffects.reportUnresponsive(session, slot, effects);
        String reason = "the connection was lost";
        boolean isSingleRead = session.transaction().isEmpty()
                && session.currentStatement().orElseThrow().isRead();
        return isSingleRead
                ? StatementRetry.retry(session, ErrorCode.TIMEOUT, reason, context, effects)
                : failRunning(session, reason, effects);
    }

    /** Answers a statement that was sent and whose result will not be known. */
    private static CallerSession failRunning(CallerSession session, String reason, List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        if (current.isCommit()) {
            return StatementCompletion.fail(
                    session.withoutTransaction(), ErrorCode.IN_DOUBT, reason + " at commit", effects);
        }
        if (session.transaction().isPresent()) {
            return StatementCompletion.fail(
                    StatementCompletion.failTransaction(session), ErrorCode.ROLLED_BACK, reason, effects);
        }
        return current.isRead()
                ? StatementCompletion.fail(session, ErrorCode.TIMEOUT, reason, effects)
                : StatementCompletion.fail(session, ErrorCode.IN_DOUBT, reason + " after the write was sent", effects);
    }

    /**
     * Answers the statement in progress at once, truthfully: it wasn't run, its transaction is rolled back, or its
     * outcome is unknown.
     */
    static CallerSession answerWithoutResult(CallerSession session, String reason, List<SessionEffect> effects) {
        if (session.progress() instanceof SessionProgress.RunningStatement running) {
            SlotEffects.closeSlot(running.slot(), effects);
            return failRunning(session, reason, effects);
        }
        return failUnsent(session, reason, effects);
    }

    static CallerSession callerDisconnected(CallerSession session, List<SessionEffect> effects) {
        switch (session.progress()) {
            case SessionProgress.AwaitingSlot waiting ->
                effects.add(
                        new SessionEffect.CancelSlotRequest(waiting.placement().database(), waiting.slotRequestId()));
            case SessionProgress.PreparingConnection preparing -> SlotEffects.closeSlot(preparing.slot(), effects);
            case SessionProgress.RunningStatement running -> SlotEffects.closeSlot(running.slot(), effects);
            case SessionProgress.Idle _, SessionProgress.AwaitingRateToken _, SessionProgress.AwaitingRetry _ -> {}
        }
        boolean usesConnection = session.progress() instanceof SessionProgress.PreparingConnection
                || session.progress() instanceof SessionProgress.RunningStatement;
        if (session.transaction().isPresent() && !usesConnection) {
            return StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED, effects)
                    .withoutTransaction()
                    .withoutCurrentStatement();
        }
        return session.withoutTransaction().withoutCurrentStatement();
    }

    /** Logs the statement in progress: without a line that names it, an unanswered request can't be traced. */
    static CallerSession processEnding(CallerSession session, SessionContext context, List<SessionEffect> effects) {
        session.currentStatement().ifPresent(current -> {
            Duration age = Duration.between(current.arrivedAt(), context.now());
            effects.add(new SessionEffect.Log(
                    current.requestId(),
                    "not answered before the exit",
                    "progress=" + session.progress().name() + " tries=" + current.tries() + " transaction="
                            + session.transactionState() + " age=" + age.toMillis() + "ms"));
        });
        return session;
    }

    static CallerSession timePassed(CallerSession session, SessionContext context, List<SessionEffect> effects) {
        Instant now = context.now();
        if (session.currentStatement().isPresent()) {
            if (!now.isBefore(session.currentStatement().get().deadline())) {
                return expire(session, effects);
            }
            if (session.progress() instanceof SessionProgress.AwaitingRetry pausing
                    && !now.isBefore(pausing.retryAt())) {
                return StatementExecution.place(session, context, effects);
            }
            return session;
        }
        if (session.transaction().isPresent()) {
            return enforceIdleTimeout(session, session.transaction().get(), context, effects);
        }
        return session;
    }

    private static CallerSession enforceIdleTimeout(
            CallerSession session, OpenTransaction open, SessionContext context, List<SessionEffect> effects) {
        Duration timeout = context.view().configuration().transactionIdleTimeout();
        Duration idleTime = Duration.between(open.idleSince(), context.now());
        if (open.status() != OpenTransaction.Status.RUNNING || idleTime.compareTo(timeout) < 0) {
            return session;
        }
        effects.add(new SessionEffect.Log("-", "transaction rolled back", "idle=" + idleTime.toMillis() + "ms"));
        return StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED_UNREPORTED, effects);
    }

    private static CallerSession expire(CallerSession session, List<SessionEffect> effects) {
        if (session.progress() instanceof SessionProgress.RunningStatement running) {
            SlotEffects.closeSlot(running.slot(), effects);
            SlotEffects.reportUnresponsive(session, running.slot(), effects);
            return StatementCompletion.fail(
                    StatementCompletion.failTransaction(session), ErrorCode.TIMEOUT, "no answer in time", effects);
        }
        return failUnsent(session, "not run in time; retry after 50 ms", effects);
    }

    /** Refuses a statement that was not sent to a database. */
    private static CallerSession failUnsent(CallerSession session, String reason, List<SessionEffect> effects) {
        switch (session.progress()) {
            case SessionProgress.AwaitingSlot waiting ->
                effects.add(
                        new SessionEffect.CancelSlotRequest(waiting.placement().database(), waiting.slotRequestId()));
            case SessionProgress.PreparingConnection preparing -> SlotEffects.closeSlot(preparing.slot(), effects);
            case SessionProgress.RunningStatement _ ->
                throw new IllegalStateException("the statement was sent to a database");
            case SessionProgress.Idle _, SessionProgress.AwaitingRateToken _, SessionProgress.AwaitingRetry _ -> {}
        }
        boolean holdsIdleConnection = !(session.progress() instanceof SessionProgress.PreparingConnection);
        CallerSession released = session.transaction().isPresent() && holdsIdleConnection
                ? StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED, effects)
                : StatementCompletion.failTransaction(session);
        return StatementCompletion.fail(released, ErrorCode.BUSY, reason, effects);
    }
}
