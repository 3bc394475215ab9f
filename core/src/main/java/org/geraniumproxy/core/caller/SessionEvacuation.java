package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.routing.EvacuationPhase;

/**
 * Ends the use of databases in an evacuated failure domain. When the failure domain is closed, open transactions are
 * rolled back as soon as no statement of theirs is in progress; at the end of the evacuation, statements in progress
 * are answered truthfully and their connections closed.
 */
final class SessionEvacuation {
    private static final String REASON = "the failure domain of the database is evacuated";

    private SessionEvacuation() {}

    /** Ends what is due after an event. Does nothing unless a failure domain is evacuated. */
    static CallerSession afterEvent(CallerSession session, SessionContext context, List<SessionEffect> effects) {
        if (context.view().constraints().evacuated().isEmpty()) {
            return session;
        }
        return session.hasOutstandingStatement()
                ? endStatement(session, context, effects)
                : endTransaction(session, context, effects);
    }

    private static CallerSession endTransaction(
            CallerSession session, SessionContext context, List<SessionEffect> effects) {
        Optional<OpenTransaction> open = session.transaction();
        Optional<BackendServerName> closed = open.flatMap(OpenTransaction::pinnedConnection)
                .map(pinned -> pinned.placement().database())
                .filter(database -> phase(open.get().route().group(), database, context)
                        .filter(phase -> phase != EvacuationPhase.REPLACING)
                        .isPresent());
        if (closed.isEmpty()) {
            return session;
        }
        effects.add(new SessionEffect.Log(
                "-", "transaction rolled back", "database=" + closed.get() + " reason=\"" + REASON + "\""));
        return StatementCompletion.rollBack(session, OpenTransaction.Status.FAILED_UNREPORTED, effects);
    }

    private static CallerSession endStatement(
            CallerSession session, SessionContext context, List<SessionEffect> effects) {
        GroupName group = session.currentStatement().orElseThrow().route().group();
        return switch (session.progress()) {
            case SessionProgress.RunningStatement running
            when isEnded(group, running.slot(), context) -> endRunning(session, running, context, effects);
            case SessionProgress.PreparingConnection preparing
            when isEnded(group, preparing.slot(), context) ->
                StatementInterruption.answerWithoutResult(session, REASON, effects);
            default -> session;
        };
    }

    /** A read that is no part of a transaction runs again elsewhere. */
    private static CallerSession endRunning(
            CallerSession session,
            SessionProgress.RunningStatement running,
            SessionContext context,
            List<SessionEffect> effects) {
        boolean isSingleRead = session.transaction().isEmpty()
                && session.currentStatement().orElseThrow().isRead();
        if (!isSingleRead) {
            return StatementInterruption.answerWithoutResult(session, REASON, effects);
        }
        SlotEffects.closeSlot(running.slot(), effects);
        return StatementRetry.retry(session, ErrorCode.TIMEOUT, REASON, context, effects);
    }

    private static boolean isEnded(GroupName group, SessionProgress.HeldSlot slot, SessionContext context) {
        return phase(group, slot.placement().database(), context).equals(Optional.of(EvacuationPhase.ENDED));
    }

    private static Optional<EvacuationPhase> phase(
            GroupName group, BackendServerName database, SessionContext context) {
        return context.view()
                .database(group, database)
                .flatMap(entry -> context.view().constraints().phaseOf(entry));
    }
}
