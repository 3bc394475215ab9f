package org.geraniumproxy.core.promotion;

import java.time.Instant;
import java.util.Optional;

/**
 * What a lease holder knows of the request of the last intent of a group.
 *
 * @param holder process that holds the lease
 * @param earlierAttempts number of attempts begun before this VM last took the lease
 * @param unsettledUntil time until which an unanswered request may take effect that was sent since the last accepted
 *     one
 * @param requested last attempt of this process whose promotion was requested
 */
record IntentOutlook(String holder, long earlierAttempts, Instant unsettledUntil, Optional<AttemptId> requested) {
    /** Returns whether the last intent is open and its target is not known to lead. */
    static boolean isLeftOpen(GroupSnapshot snapshot) {
        return snapshot.intent()
                .filter(intent -> intent.progress() == PromotionIntent.Progress.OPEN)
                .isPresent();
    }

    /**
     * Returns whether a request may still promote a database without this holder knowing of its outcome. This holder
     * knows when its own requests were sent; those of another one may be sent for some time after their intent.
     */
    boolean isUnsettled(GroupSnapshot snapshot, Instant now) {
        return snapshot.intent()
                .filter(_ -> isLeftOpen(snapshot))
                .filter(intent -> isOwn(intent) ? now.isBefore(unsettledUntil) : intent.mayTakeEffect(now))
                .isPresent();
    }

    /** Returns whether a promotion may be in progress. An intent whose request was not sent is none. */
    boolean isSettling(GroupSnapshot snapshot, Instant now) {
        return snapshot.intent()
                .filter(intent -> intent.isSettling(now))
                .filter(intent -> !isOwn(intent) || intent.attempt().equals(requested))
                .isPresent();
    }

    /** Returns whether this holder recorded an intent under its present lease. */
    boolean isOwn(PromotionIntent intent) {
        return intent.attempt()
                .filter(attempt -> attempt.holder().equals(holder) && attempt.number() > earlierAttempts)
                .isPresent();
    }
}
