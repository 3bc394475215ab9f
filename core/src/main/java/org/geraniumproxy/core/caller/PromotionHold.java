package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.statement.Statement;

/**
 * Holds commits back while a promotion of their group may take effect. The promoted log holds what was received when
 * the promotion was decided; callers are told of no commit beyond that, and new writes wait until it is settled.
 */
final class PromotionHold {
    /**
     * Time for which a write waits for an open promotion. Beyond the time limit of a promotion request it has no answer
     * yet, and may take effect many seconds later.
     */
    static final Duration MAXIMUM_WAIT = Duration.ofSeconds(1);

    /** Time after which a refused caller is told to come back. */
    static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private static final String REASON = "the primary is being replaced";

    private PromotionHold() {}

    /** Returns whether the current statement would commit, or write, while a promotion is open. */
    static boolean isHeld(CallerSession session, SessionContext context) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        return changesData(session, current) && fences(current, context).isOpen();
    }

    private static boolean changesData(CallerSession session, CurrentStatement current) {
        return switch (current.statement()) {
            case Statement.Write _ -> true;
            case Statement.Begin begin -> !begin.readOnly();
            case Statement.Execute _ -> !current.isRead();
            case Statement.Commit _ ->
                session.transaction().filter(OpenTransaction::hasWritten).isPresent();
            case Statement.Read _,
                    Statement.Rollback _,
                    Statement.SetVariable _,
                    Statement.Prepare _,
                    Statement.Deallocate _,
                    Statement.Malformed _ -> false;
        };
    }

    /**
     * Lets a write that was not sent wait, or refuses it. A transaction that has begun is rolled back: it can't go on
     * at another primary.
     */
    static CallerSession hold(CallerSession session, SessionContext context, List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        if (session.transaction().flatMap(OpenTransaction::pinnedConnection).isPresent()) {
            return StatementCompletion.failRolledBack(session, REASON, effects);
        }
        Instant openSince = fences(current, context).openSince().orElseThrow();
        if (context.now().isBefore(openSince.plus(MAXIMUM_WAIT))) {
            return StatementExecution.scheduleRetry(session, current, context.now(), effects);
        }
        return StatementCompletion.fail(
                StatementCompletion.failTransaction(session),
                ErrorCode.BUSY,
                REASON + "; retry after " + RETRY_AFTER.toMillis() + " ms",
                effects);
    }

    /** Returns whether a promoted log may lack a commit that the slot's database has confirmed. */
    static boolean isLacking(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            Optional<LogPosition> position,
            SessionContext context) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        return !fences(current, context).mayAcknowledge(slot.placement().database(), position);
    }

    /** Answers a commit that a promoted log may lack as one whose outcome is unknown. */
    static CallerSession withhold(
            CallerSession session,
            SessionProgress.HeldSlot slot,
            List<BackendReply> replies,
            SessionContext context,
            List<SessionEffect> effects) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        PromotionFences fences = fences(current, context);
        BackendServerName database = slot.placement().database();
        effects.add(new SessionEffect.Log(
                current.requestId(),
                "commit not acknowledged",
                "database=" + database + " position="
                        + replies.getFirst()
                                .position()
                                .map(LogPosition::toString)
                                .orElse("unknown") + " open="
                        + fences.isOpen() + " fence=" + fences.newest().orElseThrow()));
        SlotEffects.releaseSlot(slot, replies.getLast().transactionState(), effects);
        return StatementCompletion.fail(
                session.withoutTransaction(), ErrorCode.IN_DOUBT, REASON + " after the commit was sent", effects);
    }

    private static PromotionFences fences(CurrentStatement current, SessionContext context) {
        return context.view().fencesOf(current.route().group());
    }
}
