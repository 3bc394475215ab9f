package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.statement.Statement;

/** Chooses a database for a statement, waits for a slot, applies the session's state and sends the statement. */
final class StatementExecution {
    /** Delay before a statement without a usable database is placed again: a few round trips between regions. */
    static final Duration RETRY_DELAY = Duration.ofMillis(25);

    /** Maximum number of placements per statement, so that retries do not amplify an overload. */
    static final int MAXIMUM_TRIES = 6;

    private StatementExecution() {}

    static CallerSession place(CallerSession session, SessionContext context, List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow().withNextTry();
        Optional<CustomerChange> change = CustomerChange.of(session, context);
        if (change.isPresent()) {
            return StatementReassignment.apply(session, change.get(), context, effects);
        }
        if (PromotionHold.isHeld(session, context)) {
            return PromotionHold.hold(session, context, effects);
        }
        Optional<OpenTransaction.PinnedConnection> pinned =
                session.transaction().flatMap(OpenTransaction::pinnedConnection);
        if (pinned.isPresent()) {
            Optional<StatementResult.Failed> refusal = PlacementRefusal.pinned(
                    current.route(),
                    current.customer(),
                    pinned.get().placement().database(),
                    context.view());
            if (refusal.isPresent()) {
                return StatementCompletion.failWithRollback(
                        session, refusal.get().code(), refusal.get().text(), effects);
            }
            return requestSlot(session.with(current), pinned.get().placement(), true, effects);
        }
        Optional<Placement> chosen = Placement.choose(
                current.route(),
                current.customer(),
                mayUseReplica(session, current),
                session.lastCommit(),
                current.excludedDatabases(),
                current.arrivedAt(),
                context);
        if (chosen.isEmpty()) {
            Optional<StatementResult.Failed> refusal = refusal(session, current, context);
            if (refusal.isPresent()) {
                return StatementCompletion.failWithRollback(
                        session, refusal.get().code(), refusal.get().text(), effects);
            }
            return scheduleRetry(
                    session, session.currentStatement().orElseThrow().withoutExclusions(), context.now(), effects);
        }
        return requestSlot(session.with(current), chosen.get(), false, effects);
    }

    /**
     * Returns the refusal of a statement that could not be placed. A read waits for the primary only if no replica may
     * serve it soon: databases that refused it once may have caught up.
     */
    private static Optional<StatementResult.Failed> refusal(
            CallerSession session, CurrentStatement current, SessionContext context) {
        boolean mayUseReplica = mayUseReplica(session, current);
        Optional<StatementResult.Failed> refusal =
                PlacementRefusal.of(current.route(), current.customer(), mayUseReplica, context.view());
        return refusal.isEmpty() && current.excludedDatabases().isEmpty()
                ? PlacementRefusal.evacuated(current.route(), context.view())
                : refusal;
    }

    static CallerSession scheduleRetry(
            CallerSession session, CurrentStatement current, Instant now, List<SessionEffect> effects) {
        Instant retryAt = now.plus(RETRY_DELAY);
        effects.add(new SessionEffect.WakeAt(retryAt));
        return session.with(current).with(new SessionProgress.AwaitingRetry(retryAt));
    }

    static CallerSession slotGranted(
            CallerSession session,
            SessionEvent.SlotGranted granted,
            SessionContext context,
            List<SessionEffect> effects) {
        if (!(session.progress() instanceof SessionProgress.AwaitingSlot waiting)
                || waiting.slotRequestId() != granted.slotRequestId()) {
            throw new IllegalStateException("granted slot does not match the pending slot request");
        }
        CurrentStatement current = session.currentStatement().orElseThrow();
        Placement placement = waiting.placement();
        Optional<CustomerChange> change = CustomerChange.of(session, context);
        if (change.isPresent()) {
            returnUnusedSlot(session, granted, placement, effects);
            return StatementReassignment.apply(session, change.get(), context, effects);
        }
        if (PromotionHold.isHeld(session, context)) {
            returnUnusedSlot(session, granted, placement, effects);
            return PromotionHold.hold(session, context, effects);
        }
        ConnectionState.Synchronization synchronization =
                granted.connectionState().synchronizeWith(session.sessionState(), current.template());
        List<BackendCommand> commands = new ArrayList<>(synchronization.commands());
        boolean beginsTransaction = session.transaction()
                .map(open -> open.pinnedConnection().isEmpty())
                .orElse(false);
        if (beginsTransaction) {
            boolean readOnly = !placement.primary();
            commands.add(new BackendCommand.Begin(readOnly, placement.minimumPosition()));
        }
        SessionProgress.HeldSlot slot = new SessionProgress.HeldSlot(
                placement,
                granted.slotRequestId(),
                granted.connectionId(),
                synchronization.statementName(),
                context.now(),
                Optional.empty());
        if (SessionDrain.areAnswersDue(context)) {
            CallerSession granting = session.with(new SessionProgress.PreparingConnection(slot, false));
            return StatementInterruption.answerWithoutResult(granting, SessionDrain.STOPPING, effects);
        }
        if (commands.isEmpty()) {
            return sendStatement(session, slot, context, effects);
        }
        boolean endsSlot = beginsTransaction && current.isBegin();
        effects.add(new SessionEffect.SendCommands(placement.database(), granted.connectionId(), commands, endsSlot));
        return session.with(new SessionProgress.PreparingConnection(slot, beginsTransaction));
    }

    /** Releases a granted slot. The connection of a transaction stays pinned. */
    private static void returnUnusedSlot(
            CallerSession session, SessionEvent.SlotGranted granted, Placement placement, List<SessionEffect> effects) {
        effects.add(new SessionEffect.ReleaseSlot(placement.database(), granted.slotRequestId()));
        if (session.transaction().flatMap(OpenTransaction::pinnedConnection).isEmpty()) {
            effects.add(new SessionEffect.ReturnConnection(placement.database(), granted.connectionId(), false));
        }
    }

    static CallerSession slotRefused(
            CallerSession session,
            SessionEvent.SlotRefused refused,
            SessionContext context,
            List<SessionEffect> effects) {
        if (!(session.progress() instanceof SessionProgress.AwaitingSlot waiting)
                || waiting.slotRequestId() != refused.slotRequestId()) {
            return session;
        }
        effects.add(new SessionEffect.Log(
                session.currentStatement().orElseThrow().requestId(),
                "no slot",
                "database=" + waiting.placement().database() + " reason=\"" + refused.reason() + "\""));
        boolean holdsConnection =
                session.transaction().flatMap(OpenTransaction::pinnedConnection).isPresent();
        if (refused.retryOnOtherDatabase() && !holdsConnection) {
            return scheduleRetry(session, session.currentStatement().orElseThrow(), context.now(), effects);
        }
        return StatementCompletion.failWithRollback(session, ErrorCode.BUSY, refused.reason(), effects);
    }

    static CallerSession sendStatement(
            CallerSession session, SessionProgress.HeldSlot slot, SessionContext context, List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        List<BackendCommand> commands = new ArrayList<>();
        boolean autocommit = session.transaction().isEmpty();
        commands.add(command(current, slot, autocommit ? slot.placement().minimumPosition() : Optional.empty()));
        if (autocommit && current.isRead() && slot.placement().primary()) {
            commands.add(new BackendCommand.Begin(false, Optional.empty()));
            commands.add(new BackendCommand.Rollback());
        }
        effects.add(new SessionEffect.SendCommands(slot.placement().database(), slot.connectionId(), commands, true));
        Optional<LogPosition> latest = context.primaryHistory().latest();
        return session.with(new SessionProgress.RunningStatement(slot.withSentAt(context.now(), latest)));
    }

    private static BackendCommand command(
            CurrentStatement current, SessionProgress.HeldSlot slot, Optional<LogPosition> minimumPosition) {
        return switch (current.statement()) {
            case Statement.Read read ->
                new BackendCommand.ExecuteText(current.requestId(), read.text(), minimumPosition);
            case Statement.Write write ->
                new BackendCommand.ExecuteText(current.requestId(), write.text(), Optional.empty());
            case Statement.Execute execute ->
                new BackendCommand.ExecutePrepared(
                        current.requestId(),
                        slot.statementName().orElseThrow(),
                        execute.arguments(),
                        current.isRead() ? minimumPosition : Optional.empty());
            case Statement.Commit _ -> new BackendCommand.Commit(current.requestId());
            case Statement.Begin _,
                    Statement.Rollback _,
                    Statement.SetVariable _,
                    Statement.Prepare _,
                    Statement.Deallocate _,
                    Statement.Malformed _ -> throw new IllegalStateException("statement does not run at a database");
        };
    }

    private static CallerSession requestSlot(
            CallerSession session, Placement placement, boolean holdsConnection, List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        BackendServerName database = placement.database();
        effects.add(new SessionEffect.RequestSlot(
                database,
                session.nextRequestId(),
                current.customer(),
                current.route().priority(),
                current.deadline(),
                holdsConnection));
        return session.withSlotRequest(placement);
    }

    private static boolean mayUseReplica(CallerSession session, CurrentStatement current) {
        return session.transaction().map(OpenTransaction::readOnly).orElseGet(current::isRead);
    }
}
