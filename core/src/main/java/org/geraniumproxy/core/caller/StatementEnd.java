package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/** Ends statements and transactions: answers, errors, lost connections, deadlines, callers that leave. */
final class StatementEnd {
    private StatementEnd() {}

    static CallerSession finish(
            CallerSession session,
            List<String> rows,
            StatementResult result,
            Optional<LogPosition> position,
            List<SessionEffect> effects) {
        effects.add(new SessionEffect.Reply(rows, result, session.state(), position));
        return session.withoutCurrent();
    }

    static CallerSession fail(CallerSession session, ErrorCode code, String text, List<SessionEffect> effects) {
        if (session.current().map(CurrentStatement::answered).orElse(false)) {
            return leaveToFirstStatement(session, text, effects);
        }
        String request = session.current().map(CurrentStatement::request).orElse("-");
        int tries = session.current().map(CurrentStatement::tries).orElse(0);
        effects.add(new SessionEffect.Log(
                request, "failed", "code=" + code + " tries=" + tries + " reason=\"" + text + "\""));
        return finish(session, List.of(), new StatementResult.Failed(code, text), Optional.empty(), effects);
    }

    /** A begin that was answered ahead did not succeed at a database: the first statement begins the transaction. */
    private static CallerSession leaveToFirstStatement(
            CallerSession session, String text, List<SessionEffect> effects) {
        effects.add(new SessionEffect.Log(
                session.current().orElseThrow().request(),
                "begin left to the first statement",
                "reason=\"" + text + "\""));
        OpenTransaction open = session.transaction().orElseThrow();
        return session.with(open.reopened()).withoutCurrent();
    }

    /** Fails a statement that was not sent, and rolls back its transaction. */
    static CallerSession failWithRollback(
            CallerSession session, ErrorCode code, String text, List<SessionEffect> effects) {
        CallerSession released = session.transaction().isPresent()
                ? rollBack(session, OpenTransaction.Condition.FAILED, effects)
                : session;
        return fail(released, code, text, effects);
    }

    /** Gives up the connection of the transaction and rolls it back there. */
    static CallerSession rollBack(
            CallerSession session, OpenTransaction.Condition condition, List<SessionEffect> effects) {
        OpenTransaction open = session.transaction().orElseThrow();
        open.pinned()
                .ifPresent(pinned -> effects.add(new SessionEffect.ReturnConnection(
                        pinned.placement().database(), pinned.connection(), pinned.memory(), true)));
        return session.with(open.failed(condition));
    }

    static CallerSession replied(
            CallerSession session, SessionEvent.Replied replied, SessionContext context, List<SessionEffect> effects) {
        return switch (session.progress()) {
            case SessionProgress.Preparing preparing -> prepared(session, preparing, replied, context, effects);
            case SessionProgress.Running running -> answered(session, running.slot(), replied, context, effects);
            case SessionProgress.Idle _,
                    SessionProgress.AwaitingToken _,
                    SessionProgress.Pausing _,
                    SessionProgress.AwaitingSlot _ ->
                throw new IllegalStateException("a database answered though nothing was sent");
        };
    }

    static CallerSession connectionLost(
            CallerSession session, long connection, SessionContext context, List<SessionEffect> effects) {
        return switch (session.progress()) {
            case SessionProgress.Preparing preparing -> {
                closeSlot(preparing.slot(), effects);
                yield retryOrRollBack(
                        session,
                        ErrorCode.BUSY,
                        "the connection was lost before the statement was sent",
                        preparing.slot().placement().database(),
                        context,
                        effects);
            }
            case SessionProgress.Running running -> {
                closeSlot(running.slot(), effects);
                yield lostWhileRunning(session, running.slot(), context, effects);
            }
            case SessionProgress.AwaitingSlot waiting -> {
                effects.add(new SessionEffect.CancelSlot(waiting.placement().database(), waiting.number()));
                effects.add(
                        new SessionEffect.CloseConnection(waiting.placement().database(), connection));
                yield fail(failTransaction(session), ErrorCode.ROLLED_BACK, "the connection was lost", effects);
            }
            case SessionProgress.Idle _, SessionProgress.AwaitingToken _, SessionProgress.Pausing _ ->
                session.transaction()
                        .filter(open -> open.pinned().isPresent())
                        .map(open -> {
                            effects.add(new SessionEffect.CloseConnection(
                                    open.pinned().get().placement().database(), connection));
                            return session.with(open.failed(OpenTransaction.Condition.FAILED_UNREPORTED));
                        })
                        .orElse(session);
        };
    }

    static CallerSession callerLeft(CallerSession session, List<SessionEffect> effects) {
        switch (session.progress()) {
            case SessionProgress.AwaitingSlot waiting ->
                effects.add(new SessionEffect.CancelSlot(waiting.placement().database(), waiting.number()));
            case SessionProgress.Preparing preparing -> closeSlot(preparing.slot(), effects);
            case SessionProgress.Running running -> closeSlot(running.slot(), effects);
            case SessionProgress.Idle _, SessionProgress.AwaitingToken _, SessionProgress.Pausing _ -> {}
        }
        boolean usesConnection = session.progress() instanceof SessionProgress.Preparing
                || session.progress() instanceof SessionProgress.Running;
        if (session.transaction().isPresent() && !usesConnection) {
            return rollBack(session, OpenTransaction.Condition.FAILED, effects)
                    .withoutTransaction()
                    .withoutCurrent();
        }
        return session.withoutTransaction().withoutCurrent();
    }

    static CallerSession timePassed(CallerSession session, SessionContext context, List<SessionEffect> effects) {
        Instant now = context.now();
        if (session.current().isPresent()) {
            if (!now.isBefore(session.current().get().deadline())) {
                return deadlinePassed(session, effects);
            }
            if (session.progress() instanceof SessionProgress.Pausing pausing && !now.isBefore(pausing.until())) {
                return StatementRun.place(session, context, effects);
            }
            return session;
        }
        if (session.transaction().isPresent()) {
            return limitIdle(session, session.transaction().get(), context, effects);
        }
        if (context.view().draining() && session.isConnected()) {
            effects.add(new SessionEffect.CloseCaller());
        }
        return session;
    }

    private static CallerSession limitIdle(
            CallerSession session, OpenTransaction open, SessionContext context, List<SessionEffect> effects) {
        Duration limit = context.view().configuration().transactionIdleLimit();
        Duration idle = Duration.between(open.idleSince(), context.now());
        if (open.condition() != OpenTransaction.Condition.RUNNING || idle.compareTo(limit) < 0) {
            return session;
        }
        effects.add(new SessionEffect.Log("-", "transaction rolled back", "idle=" + idle.toMillis() + "ms"));
        return rollBack(session, OpenTransaction.Condition.FAILED_UNREPORTED, effects);
    }

    private static CallerSession deadlinePassed(CallerSession session, List<SessionEffect> effects) {
        switch (session.progress()) {
            case SessionProgress.AwaitingSlot waiting ->
                effects.add(new SessionEffect.CancelSlot(waiting.placement().database(), waiting.number()));
            case SessionProgress.Preparing preparing -> closeSlot(preparing.slot(), effects);
            case SessionProgress.Running running -> {
                closeSlot(running.slot(), effects);
                observeSilence(session, running.slot(), effects);
                return fail(failTransaction(session), ErrorCode.TIMEOUT, "no answer in time", effects);
            }
            case SessionProgress.Idle _, SessionProgress.AwaitingToken _, SessionProgress.Pausing _ -> {}
        }
        boolean holdsIdleConnection = !(session.progress() instanceof SessionProgress.Preparing);
        CallerSession released = session.transaction().isPresent() && holdsIdleConnection
                ? rollBack(session, OpenTransaction.Condition.FAILED, effects)
                : failTransaction(session);
        return fail(released, ErrorCode.BUSY, "not run in time; retry after 50 ms", effects);
    }

    private static CallerSession prepared(
            CallerSession session,
            SessionProgress.Preparing preparing,
            SessionEvent.Replied replied,
            SessionContext context,
            List<SessionEffect> effects) {
        SessionProgress.HeldSlot slot = preparing.slot();
        for (BackendReply reply : replied.replies()) {
            if (reply.result() instanceof StatementResult.Failed failure) {
                closeSlot(slot, effects);
                observeRefusal(session, slot.placement(), failure.code(), effects);
                return retryOrRollBack(
                        session,
                        failure.code(),
                        failure.text(),
                        slot.placement().database(),
                        context,
                        effects);
            }
        }
        if (!preparing.begins()) {
            return StatementRun.run(session, slot, context, effects);
        }
        recordPosition(session, slot, replied.replies().getLast().position(), effects);
        OpenTransaction.Pinned pinned =
                new OpenTransaction.Pinned(slot.placement(), slot.connection(), slot.memory(), false);
        CallerSession begun = session.with(session.transaction().orElseThrow().pinnedTo(pinned));
        if (session.current().orElseThrow().isBegin()) {
            effects.add(new SessionEffect.ReleaseSlot(slot.placement().database(), slot.number()));
            effects.add(new SessionEffect.WakeAt(
                    context.now().plus(context.view().configuration().transactionIdleLimit())));
            return begun.withoutCurrent();
        }
        return StatementRun.run(begun, slot, context, effects);
    }

    private static CallerSession answered(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            SessionEvent.Replied replied,
            SessionContext context,
            List<SessionEffect> effects) {
        List<BackendReply> replies = replied.replies();
        BackendReply reply = replies.getFirst();
        boolean proven = replies.size() == 1 || replies.get(1).isCompleted();
        if (reply.result() instanceof StatementResult.Failed failure) {
            return session.transaction().isPresent()
                    ? failedInTransaction(session, slot, reply, failure, context, effects)
                    : failedAlone(session, slot, replies, failure, context, effects);
        }
        if (!proven) {
            releaseSlot(slot, replies.getLast().state(), effects);
            observeRefusal(session, slot.placement(), ErrorCode.READ_ONLY, effects);
            return retry(session, ErrorCode.LAGGING, "the database no longer leads", context, effects);
        }
        return completed(session, slot, replies, context, effects);
    }

    private static CallerSession completed(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            List<BackendReply> replies,
            SessionContext context,
            List<SessionEffect> effects) {
        CurrentStatement current = session.current().orElseThrow();
        BackendReply reply = replies.getFirst();
        boolean alone = session.transaction().isEmpty();
        boolean commits = current.isCommit() || (alone && !current.isRead());
        Duration took = Duration.between(slot.sentAt(), context.now());
        observe(session, new DatabaseObservation.Answered(slot.placement().database(), took, commits), effects);
        if (alone || current.isCommit()) {
            if (alone) {
                recordPosition(session, slot, replies.getLast().position(), effects);
            }
            releaseSlot(slot, replies.getLast().state(), effects);
            CallerSession ended = session.withoutTransaction();
            CallerSession next = commits ? ended.withOwnCommit(reply.position()) : ended;
            return finish(next, reply.rows(), reply.result(), reply.position(), effects);
        }
        effects.add(new SessionEffect.ReleaseSlot(slot.placement().database(), slot.number()));
        OpenTransaction.Pinned pinned =
                new OpenTransaction.Pinned(slot.placement(), slot.connection(), slot.memory(), true);
        OpenTransaction open =
                session.transaction().orElseThrow().pinnedTo(pinned).idleFrom(context.now());
        effects.add(new SessionEffect.WakeAt(
                context.now().plus(context.view().configuration().transactionIdleLimit())));
        return finish(session.with(open), reply.rows(), reply.result(), reply.position(), effects);
    }

    private static CallerSession failedAlone(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            List<BackendReply> replies,
            StatementResult.Failed failure,
            SessionContext context,
            List<SessionEffect> effects) {
        observeRefusal(session, slot.placement(), failure.code(), effects);
        if (failure.code() == ErrorCode.UNKNOWN_STATEMENT) {
            closeSlot(slot, effects);
        } else {
            releaseSlot(slot, replies.getLast().state(), effects);
        }
        if (failure.code().isNotRun() && failure.code() != ErrorCode.MALFORMED) {
            return retryExcluding(session, failure, slot.placement().database(), context, effects);
        }
        return fail(session, failure.code(), failure.text(), effects);
    }

    private static CallerSession failedInTransaction(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            BackendReply reply,
            StatementResult.Failed failure,
            SessionContext context,
            List<SessionEffect> effects) {
        observeRefusal(session, slot.placement(), failure.code(), effects);
        OpenTransaction open = session.transaction().orElseThrow();
        releaseSlot(slot, reply.state(), effects);
        boolean untouched = !open.isUsed() && failure.code().isNotRun();
        if (untouched && failure.code() != ErrorCode.MALFORMED) {
            return retryExcluding(
                    session.with(open.unpinned()), failure, slot.placement().database(), context, effects);
        }
        CallerSession next = session.current().orElseThrow().isCommit()
                ? session.withoutTransaction()
                : session.with(open.failed(OpenTransaction.Condition.FAILED));
        return fail(next, failure.code(), failure.text(), effects);
    }

    private static CallerSession lostWhileRunning(
            CallerSession session, SessionProgress.HeldSlot slot, SessionContext context, List<SessionEffect> effects) {
        observeSilence(session, slot, effects);
        CurrentStatement current = session.current().orElseThrow();
        if (current.isCommit()) {
            return fail(session.withoutTransaction(), ErrorCode.IN_DOUBT, "the connection was lost at commit", effects);
        }
        if (session.transaction().isPresent()) {
            return fail(failTransaction(session), ErrorCode.ROLLED_BACK, "the connection was lost", effects);
        }
        if (current.isRead()) {
            return retry(session, ErrorCode.TIMEOUT, "the connection was lost", context, effects);
        }
        return fail(session, ErrorCode.IN_DOUBT, "the connection was lost after the write was sent", effects);
    }

    /** A statement that was not sent: it is placed again unless statements of its transaction have run. */
    private static CallerSession retryOrRollBack(
            CallerSession session,
            ErrorCode code,
            String text,
            BackendServerName refusing,
            SessionContext context,
            List<SessionEffect> effects) {
        if (session.transaction().map(OpenTransaction::isUsed).orElse(false)) {
            return fail(failTransaction(session), ErrorCode.ROLLED_BACK, text, effects);
        }
        CallerSession unpinned =
                session.transaction().map(open -> session.with(open.unpinned())).orElse(session);
        ErrorCode promise = code.isNotRun() ? code : ErrorCode.BUSY;
        return retryExcluding(unpinned, new StatementResult.Failed(promise, text), refusing, context, effects);
    }

    private static CallerSession retryExcluding(
            CallerSession session,
            StatementResult.Failed failure,
            BackendServerName refusing,
            SessionContext context,
            List<SessionEffect> effects) {
        CurrentStatement current = session.current().orElseThrow();
        boolean elsewhere = failure.code() == ErrorCode.LAGGING || failure.code() == ErrorCode.WRONG_DATABASE;
        CallerSession next = elsewhere ? session.with(current.excluding(refusing)) : session;
        return retry(next, failure.code(), failure.text(), context, effects);
    }

    private static CallerSession retry(
            CallerSession session, ErrorCode code, String text, SessionContext context, List<SessionEffect> effects) {
        CurrentStatement current = session.current().orElseThrow();
        Instant next = context.now().plus(StatementRun.PLACEMENT_PAUSE);
        if (current.tries() >= StatementRun.MOST_TRIES || !next.isBefore(current.deadline())) {
            CallerSession failed = session.transaction().isPresent() ? failTransaction(session) : session;
            return fail(failed, code, text, effects);
        }
        effects.add(new SessionEffect.Log(
                current.request(), "retry", "code=" + code + " tries=" + current.tries() + " reason=\"" + text + "\""));
        if (code == ErrorCode.LAGGING) {
            return StatementRun.place(session, context, effects);
        }
        return StatementRun.pause(session, current, context.now(), effects);
    }

    private static CallerSession failTransaction(CallerSession session) {
        boolean commits = session.current().map(CurrentStatement::isCommit).orElse(false);
        if (commits) {
            return session.withoutTransaction();
        }
        return session.transaction()
                .map(open -> session.with(open.failed(OpenTransaction.Condition.FAILED)))
                .orElse(session);
    }

    private static void releaseSlot(
            SessionProgress.HeldSlot slot, TransactionState state, List<SessionEffect> effects) {
        BackendServerName database = slot.placement().database();
        effects.add(new SessionEffect.ReleaseSlot(database, slot.number()));
        effects.add(new SessionEffect.ReturnConnection(
                database, slot.connection(), slot.memory(), state != TransactionState.IDLE));
    }

    private static void closeSlot(SessionProgress.HeldSlot slot, List<SessionEffect> effects) {
        BackendServerName database = slot.placement().database();
        effects.add(new SessionEffect.ReleaseSlot(database, slot.number()));
        effects.add(new SessionEffect.CloseConnection(database, slot.connection()));
    }

    /**
     * Records a position of the primary. Only a write, a begin or a guarded read proves that the database leads; the
     * commit of a transaction that wrote nothing is answered by a replaced primary too.
     */
    private static void recordPosition(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            Optional<LogPosition> position,
            List<SessionEffect> effects) {
        if (slot.placement().leader() && position.isPresent()) {
            effects.add(new SessionEffect.RecordPosition(
                    group(session), new ProvenPositions.Sample(position.get(), slot.sentAt())));
        }
    }

    private static void observeSilence(
            CallerSession session, SessionProgress.HeldSlot slot, List<SessionEffect> effects) {
        CurrentStatement current = session.current().orElseThrow();
        boolean commits = current.isCommit() || (session.transaction().isEmpty() && !current.isRead());
        observe(session, new DatabaseObservation.Silent(slot.placement().database(), commits), effects);
    }

    private static void observeRefusal(
            CallerSession session, Placement placement, ErrorCode code, List<SessionEffect> effects) {
        if (code == ErrorCode.READ_ONLY && placement.leader()) {
            observe(session, new DatabaseObservation.NotLeading(placement.database()), effects);
        } else if (code == ErrorCode.LAGGING) {
            observe(session, new DatabaseObservation.Lagging(placement.database()), effects);
        }
    }

    private static void observe(CallerSession session, DatabaseObservation observation, List<SessionEffect> effects) {
        effects.add(new SessionEffect.Observe(group(session), observation));
    }

    private static GroupName group(CallerSession session) {
        return session.current().orElseThrow().route().group();
    }
}
