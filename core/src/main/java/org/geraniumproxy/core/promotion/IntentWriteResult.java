package org.geraniumproxy.core.promotion;

import java.util.Optional;

/** Result of a conditional write of a promotion intent to the store. */
public sealed interface IntentWriteResult {
    /** The intent is in the store. */
    record Recorded() implements IntentWriteResult {}

    /**
     * Nothing was written, because the store has another intent than the one this VM knew.
     *
     * @param current intent in the store, or empty if it has none
     */
    record Superseded(Optional<PromotionIntent> current) implements IntentWriteResult {}

    /**
     * The store gave no answer, or this VM no longer holds the lease. The store may still do the write, if neither the
     * intent nor the lease has changed by then.
     */
    record Unconfirmed() implements IntentWriteResult {}
}
