package org.geraniumproxy.core.limit;

import java.time.Duration;
import org.geraniumproxy.core.identity.VmName;

/** Action that an adapter executes for the limit of one customer. */
public sealed interface RateEffect {
    /**
     * Admit a request.
     *
     * @param requestNumber number of the request
     */
    record Admit(long requestNumber) implements RateEffect {}

    /**
     * Refuse a request that exceeds the rate or whose deadline passed while it waited.
     *
     * @param requestNumber number of the request
     * @param retryAfter time after which a token is expected
     */
    record Refuse(long requestNumber, Duration retryAfter) implements RateEffect {}

    /**
     * Request tokens from a holder.
     *
     * @param holder the holder
     * @param loanIdentifier identifier of the loan
     * @param wanted number of tokens requested
     */
    record Borrow(VmName holder, long loanIdentifier, int wanted) implements RateEffect {}

    /**
     * Report the use of a loan to its lender, which closes it.
     *
     * @param holder the lender
     * @param loanIdentifier identifier of the loan
     * @param spent tokens spent
     * @param unspent tokens returned
     */
    record Report(VmName holder, long loanIdentifier, int spent, int unspent) implements RateEffect {}

    /**
     * Answer another VM's request for tokens.
     *
     * @param loan the loan
     * @param offer the answer
     */
    record Offer(LoanKey loan, LoanOffer offer) implements RateEffect {}
}
