package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Handles the replies of a database to the commands of a session. */
final class ReplyHandler {
    private ReplyHandler() {}

    static CallerSession handle(
            CallerSession session,
            SessionEvent.RepliesReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        return switch (session.progress()) {
            case SessionProgress.PreparingConnection preparing ->
                connectionPrepared(session, preparing, received, context, effects);
            case SessionProgress.RunningStatement running ->
                statementAnswered(session, running.slot(), received, context, effects);
            case SessionProgress.Idle _,
                    SessionProgress.AwaitingRateToken _,
                    SessionProgress.AwaitingRetry _,
                    SessionProgress.AwaitingSlot _ ->
                throw new IllegalStateException("received replies from a database although no command was sent");
        };
    }

    private static CallerSession connectionPrepared(
            CallerSession session,
            SessionProgress.PreparingConnection preparing,
            SessionEvent.RepliesReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        SessionProgress.HeldSlot slot = preparing.slot();
        for (BackendReply reply : received.replies()) {
            if (reply.result() instanceof StatementResult.Failed failure) {
                SlotEffects.closeSlot(slot, effects);
                SlotEffects.reportRefusal(session, slot.placement(), failure.code(), effects);
                return StatementRetry.retryOrRollBack(
                        session,
                        failure.code(),
                        failure.text(),
                        slot.placement().database(),
                        context,
                        effects);
            }
        }
        Optional<CustomerChange> change = CustomerChange.of(session, context);
        if (change.isPresent()) {
            returnPreparedSlot(session, slot, received.replies().getLast().transactionState(), effects);
            return StatementReassignment.apply(session, change.get(), context, effects);
        }
        if (session.transaction().isEmpty() && PromotionHold.isHeld(session, context)) {
            SlotEffects.releaseSlot(slot, TransactionState.IDLE, effects);
            return PromotionHold.hold(session, context, effects);
        }
        if (!preparing.beginsTransaction()) {
            return StatementExecution.sendStatement(session, slot, context, effects);
        }
        SlotEffects.recordPrimaryPosition(
                session, slot, received.replies().getLast().position(), effects);
        OpenTransaction.PinnedConnection pinned =
                new OpenTransaction.PinnedConnection(slot.placement(), slot.connectionId(), false, false);
        CallerSession begun = session.with(session.transaction().orElseThrow().pinnedTo(pinned));
        if (session.currentStatement().orElseThrow().isBegin()) {
            effects.add(new SessionEffect.ReleaseSlot(slot.placement().database(), slot.slotRequestId()));
            effects.add(new SessionEffect.WakeAt(
                    context.now().plus(context.view().configuration().transactionIdleTimeout())));
            return begun.withoutCurrentStatement();
        }
        return StatementExecution.sendStatement(begun, slot, context, effects);
    }

    /** Releases a slot whose connection was prepared in vain. The connection of a transaction stays pinned. */
    private static void returnPreparedSlot(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            TransactionState transactionState,
            List<SessionEffect> effects) {
        if (session.transaction().flatMap(OpenTransaction::pinnedConnection).isPresent()) {
            effects.add(new SessionEffect.ReleaseSlot(slot.placement().database(), slot.slotRequestId()));
        } else {
            SlotEffects.releaseSlot(slot, transactionState, effects);
        }
    }

    private static CallerSession statementAnswered(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            SessionEvent.RepliesReceived received,
            SessionContext context,
            List<SessionEffect> effects) {
        List<BackendReply> replies = received.replies();
        BackendReply reply = replies.getFirst();
        boolean primaryConfirmed = replies.size() == 1 || replies.get(1).isCompleted();
        if (reply.result() instanceof StatementResult.Failed failure) {
            return session.transaction().isPresent()
                    ? transactionFailed(session, slot, reply, failure, context, effects)
                    : autocommitFailed(session, slot, replies, failure, context, effects);
        }
        if (!primaryConfirmed) {
            SlotEffects.releaseSlot(slot, replies.getLast().transactionState(), effects);
            SlotEffects.reportRefusal(session, slot.placement(), ErrorCode.READ_ONLY, effects);
            return StatementRetry.retry(session, ErrorCode.LAGGING, "the database no longer leads", context, effects);
        }
        return statementCompleted(session, slot, replies, context, effects);
    }

    private static CallerSession statementCompleted(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            List<BackendReply> replies,
            SessionContext context,
            List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        BackendReply reply = replies.getFirst();
        boolean autocommit = session.transaction().isEmpty();
        boolean commits = current.isCommit() || (autocommit && !current.isRead());
        boolean wrote = session.transaction().map(OpenTransaction::hasWritten).orElse(false)
                || !(current.isRead() || current.isCommit());
        boolean lacking = commits && wrote && PromotionHold.isLacking(session, slot, reply.position(), context);
        Duration latency = Duration.between(slot.sentAt(), context.now());
        SlotEffects.reportObservation(
                session,
                new DatabaseObservation.Answered(slot.placement().database(), latency, commits && wrote && !lacking),
                effects);
        if (lacking) {
            return PromotionHold.withhold(session, slot, replies, context, effects);
        }
        if (autocommit || current.isCommit()) {
            if (autocommit) {
                SlotEffects.recordPrimaryPosition(
                        session, slot, replies.getLast().position(), effects);
            }
            if (commits && wrote) {
                SlotEffects.recordAcknowledgedCommit(session, slot, effects);
            }
            SlotEffects.releaseSlot(slot, replies.getLast().transactionState(), effects);
            CallerSession ended = session.withoutTransaction();
            CallerSession next = commits ? ended.withLastCommit(reply.position()) : ended;
            return StatementCompletion.finish(next, reply.rows(), reply.result(), reply.position(), effects);
        }
        effects.add(new SessionEffect.ReleaseSlot(slot.placement().database(), slot.slotRequestId()));
        OpenTransaction.PinnedConnection pinned =
                new OpenTransaction.PinnedConnection(slot.placement(), slot.connectionId(), true, wrote);
        OpenTransaction open =
                session.transaction().orElseThrow().pinnedTo(pinned).withIdleSince(context.now());
        effects.add(new SessionEffect.WakeAt(
                context.now().plus(context.view().configuration().transactionIdleTimeout())));
        return StatementCompletion.finish(session.with(open), reply.rows(), reply.result(), reply.position(), effects);
    }

    private static CallerSession autocommitFailed(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            List<BackendReply> replies,
            StatementResult.Failed failure,
            SessionContext context,
            List<SessionEffect> effects) {
        SlotEffects.reportRefusal(session, slot.placement(), failure.code(), effects);
        if (failure.code() == ErrorCode.UNKNOWN_STATEMENT) {
            SlotEffects.closeSlot(slot, effects);
        } else {
            SlotEffects.releaseSlot(slot, replies.getLast().transactionState(), effects);
        }
        if (failure.code().isNotRun() && failure.code() != ErrorCode.MALFORMED) {
            return StatementRetry.retryExcluding(
                    session, failure, slot.placement().database(), context, effects);
        }
        return StatementCompletion.fail(session, failure.code(), failure.text(), effects);
    }

    private static CallerSession transactionFailed(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            BackendReply reply,
            StatementResult.Failed failure,
            SessionContext context,
            List<SessionEffect> effects) {
        SlotEffects.reportRefusal(session, slot.placement(), failure.code(), effects);
        OpenTransaction open = session.transaction().orElseThrow();
        SlotEffects.releaseSlot(slot, reply.transactionState(), effects);
        boolean retryable = !open.hasRunStatement() && failure.code().isNotRun();
        if (retryable && failure.code() != ErrorCode.MALFORMED) {
            return StatementRetry.retryExcluding(
                    session.with(open.unpinned()), failure, slot.placement().database(), context, effects);
        }
        CallerSession next = session.currentStatement().orElseThrow().isCommit()
                ? session.withoutTransaction()
                : session.with(open.withFailure(OpenTransaction.Status.FAILED));
        return StatementCompletion.fail(next, failure.code(), failure.text(), effects);
    }
}
