package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Locale;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * Keeps a statement from being sent for a customer that no longer holds the caller's key. What has not run goes on for
 * the customer that holds the key. A transaction that has run a statement is rolled back, because its connection and
 * its results belong to the former customer.
 */
final class StatementReassignment {
    private static final String REASON = "the key moved to another customer";

    private StatementReassignment() {}

    /**
     * Lets the statement in progress go on, or ends it. It was not sent, and holds no slot; the connection of its
     * transaction is still pinned.
     */
    static CallerSession apply(
            CallerSession session, CustomerChange change, SessionContext context, List<SessionEffect> effects) {
        return switch (change) {
            case CustomerChange.Withdrawn _ ->
                StatementCompletion.failWithRollback(
                        session, ErrorCode.UNKNOWN_KEY, "the key was withdrawn before the statement was sent", effects);
            case CustomerChange.Moved moved -> move(session, moved.holder(), context, effects);
        };
    }

    private static CallerSession move(
            CallerSession session, CustomerName holder, SessionContext context, List<SessionEffect> effects) {
        if (session.transaction().map(OpenTransaction::hasRunStatement).orElse(false)) {
            report(session, holder, KeyMoveOutcome.ROLLED_BACK, context, effects);
            return StatementCompletion.failRolledBack(session, REASON, effects);
        }
        if (session.currentStatement().orElseThrow().answered()) {
            return StatementCompletion.deferBeginToFirstStatement(
                    StatementCompletion.unpin(session, effects), REASON, effects);
        }
        report(session, holder, KeyMoveOutcome.RESTARTED, context, effects);
        return restart(session, holder, effects);
    }

    /** Requests a token of the new customer, whose operation this is from now on. */
    private static CallerSession restart(CallerSession session, CustomerName holder, List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow().withCustomer(holder);
        CallerSession unpinned = StatementCompletion.unpin(session, effects);
        CallerSession moved = unpinned.transaction()
                .map(open -> unpinned.with(open.withCustomer(holder)))
                .orElse(unpinned)
                .with(current);
        effects.add(new SessionEffect.RequestRateToken(
                moved.nextRequestId(), holder, current.route().maximumTokenWait()));
        return moved.withTokenRequest();
    }

    private static void report(
            CallerSession session,
            CustomerName holder,
            KeyMoveOutcome outcome,
            SessionContext context,
            List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        effects.add(new SessionEffect.Log(
                current.requestId(),
                "key moved to another customer",
                "customer=" + current.customer() + " holder=" + holder + " version="
                        + context.view().configuration().version() + " outcome="
                        + outcome.name().toLowerCase(Locale.ROOT)));
        effects.add(new SessionEffect.CountKeyMove(outcome));
    }
}
