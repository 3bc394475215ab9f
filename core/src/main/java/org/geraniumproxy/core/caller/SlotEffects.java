package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/** Effects at the end of a slot's use: its release, and the evidence that the answer gives about the database. */
final class SlotEffects {
    private SlotEffects() {}

    static void releaseSlot(
            SessionProgress.HeldSlot slot, TransactionState transactionState, List<SessionEffect> effects) {
        BackendServerName database = slot.placement().database();
        effects.add(new SessionEffect.ReleaseSlot(database, slot.slotRequestId()));
        effects.add(new SessionEffect.ReturnConnection(
                database, slot.connectionId(), transactionState != TransactionState.IDLE));
    }

    static void closeSlot(SessionProgress.HeldSlot slot, List<SessionEffect> effects) {
        BackendServerName database = slot.placement().database();
        effects.add(new SessionEffect.ReleaseSlot(database, slot.slotRequestId()));
        effects.add(new SessionEffect.CloseConnection(database, slot.connectionId()));
    }

    /**
     * Records a position of the primary. Only a write, a begin or a read followed by a begin proves that the database
     * is the primary; a demoted primary also answers the commit of a transaction that wrote nothing.
     */
    static void recordPrimaryPosition(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            Optional<LogPosition> position,
            List<SessionEffect> effects) {
        if (slot.placement().primary() && position.isPresent()) {
            effects.add(new SessionEffect.RecordPrimaryPosition(
                    group(session), new PrimaryPositionHistory.Sample(position.get(), slot.sentAt())));
        }
    }

    /**
     * Records a lower bound for the position of an acknowledged commit. The commit was assigned its position after the
     * statement was sent, so it is beyond the position known at that time. The position in the answer is no such bound,
     * because it may include commits that were never acknowledged.
     */
    static void recordAcknowledgedCommit(
            CallerSession session, SessionProgress.HeldSlot slot, List<SessionEffect> effects) {
        slot.latestKnownPosition()
                .ifPresent(
                        known -> effects.add(new SessionEffect.RecordAcknowledgedCommit(group(session), known.next())));
    }

    static void reportUnresponsive(CallerSession session, SessionProgress.HeldSlot slot, List<SessionEffect> effects) {
        CurrentStatement statement = session.currentStatement().orElseThrow();
        boolean commits = statement.isCommit() || (session.transaction().isEmpty() && !statement.isRead());
        reportObservation(
                session, new DatabaseObservation.Unresponsive(slot.placement().database(), commits), effects);
    }

    static void reportRefusal(CallerSession session, Placement placement, ErrorCode code, List<SessionEffect> effects) {
        if (code == ErrorCode.READ_ONLY && placement.primary()) {
            reportObservation(session, new DatabaseObservation.NotPrimary(placement.database()), effects);
        } else if (code == ErrorCode.LAGGING) {
            reportObservation(session, new DatabaseObservation.Lagging(placement.database()), effects);
        } else if (code == ErrorCode.BUSY || code == ErrorCode.FAILED || code == ErrorCode.UNKNOWN) {
            reportObservation(session, new DatabaseObservation.Refused(placement.database()), effects);
        }
    }

    static void reportObservation(CallerSession session, DatabaseObservation observation, List<SessionEffect> effects) {
        effects.add(new SessionEffect.ReportObservation(group(session), observation));
    }

    private static GroupName group(CallerSession session) {
        return session.currentStatement().orElseThrow().route().group();
    }
}
