package org.geraniumproxy.core.promotion;

import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;

/** What happens to the supervision of a group by the holder of the duty. */
public sealed interface PromotionEvent {
    /**
     * Time has passed.
     *
     * @param snapshot what is known about the group
     */
    record TimePassed(GroupSnapshot snapshot) implements PromotionEvent {}

    /**
     * A database answered a command, or did not in time.
     *
     * @param database the database
     * @param term term of the attempt to which the command belonged
     * @param status its state, or empty
     */
    record DatabaseAnswered(BackendServerName database, long term, Optional<DatabaseStatus> status)
            implements PromotionEvent {}

    /**
     * The announcement ended.
     *
     * @param written whether it is in the store
     */
    record IntentRecorded(boolean written) implements PromotionEvent {}

    /**
     * The attempt to get a greater fencing token ended.
     *
     * @param renewed whether the token is greater now
     */
    record FencingTokenRenewed(boolean renewed) implements PromotionEvent {}

    /** The order was carried out. */
    record RequestAccepted() implements PromotionEvent {}

    /** The order was refused: the database does not run, or another holder gave a newer one. */
    record RequestRefused() implements PromotionEvent {}

    /** The order was not answered, or not taken for now; it may still be carried out. */
    record RequestUnanswered() implements PromotionEvent {}
}
