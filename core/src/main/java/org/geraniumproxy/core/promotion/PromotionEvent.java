package org.geraniumproxy.core.promotion;

import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.BackendServerName;

/** Inputs of the supervision of a group by the lease holder. */
public sealed interface PromotionEvent {
    /**
     * Periodic tick.
     *
     * @param snapshot state of the group at this time
     */
    record TimePassed(GroupSnapshot snapshot) implements PromotionEvent {}

    /**
     * The state of the group was read again before another event is applied, so that an attempt decides on present
     * evidence.
     *
     * @param snapshot state of the group at this time
     */
    record SnapshotTaken(GroupSnapshot snapshot) implements PromotionEvent {}

    /**
     * A command was answered, or was given up.
     *
     * @param database recipient of the command
     * @param command the command
     * @param attempt attempt to which the command belonged, or empty if it belonged to none
     * @param result whether the database carried it out
     */
    record CommandCompleted(
            BackendServerName database, BackendCommand command, Optional<AttemptId> attempt, CommandResult result)
            implements PromotionEvent {}

    /**
     * The write of an open promotion intent finished.
     *
     * @param result whether the intent is in the store
     */
    record IntentRecorded(IntentWriteResult result) implements PromotionEvent {}

    /**
     * The renewal of the fencing token finished.
     *
     * @param renewed whether a greater token was obtained
     */
    record FencingTokenRenewed(boolean renewed) implements PromotionEvent {}

    /** The platform accepted the promotion request. */
    record RequestAccepted() implements PromotionEvent {}

    /** The platform refused the promotion request, because the database isn't running or the token is outdated. */
    record RequestRefused() implements PromotionEvent {}

    /** The promotion request got no answer or was deferred; it may still take effect. */
    record RequestUnanswered() implements PromotionEvent {}
}
