package org.geraniumproxy.core.promotion;

import java.time.Instant;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * A promotion that was announced in the store before it was ordered. An order without an answer may still be carried
 * out, so the next holder of the duty repeats it before it looks for a choice of its own.
 *
 * @param target the database
 * @param term term that stopped the replicas
 * @param progress how far the order has come
 * @param learnedAt moment at which this VM learned of this progress; the order was sent before it or will be soon
 */
public record PromotionIntent(BackendServerName target, long term, Progress progress, Instant learnedAt) {
    /** How far an order has come. */
    public enum Progress {
        /** It is sent until it is answered. */
        OPEN,
        /** The platform took it; it has its effect some hundred milliseconds later. */
        TAKEN,
        /** The platform refused it, and no copy of it can be carried out any more. */
        REFUSED
    }

    /** Tells whether the promotion may be under way, so that another attempt would meet it halfway. */
    boolean isSettling(Instant now) {
        return progress != Progress.REFUSED && now.isBefore(learnedAt.plus(PromotionState.SETTLING_TIME));
    }

    /** Tells whether the promotion may still come, so that replicas must confirm no commit of the old primary. */
    boolean mayTakeEffect(Instant now) {
        return switch (progress) {
            case OPEN -> now.isBefore(learnedAt.plus(PromotionState.LATE_REQUEST_TIMEOUT));
            case TAKEN -> isSettling(now);
            case REFUSED -> false;
        };
    }
}
