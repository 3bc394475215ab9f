package org.geraniumproxy.core.limit;

import java.time.Duration;
import org.geraniumproxy.core.identity.VmName;

/** What an adapter carries out for the limit of one customer. */
public sealed interface RateEffect {
    /**
     * The request may run.
     *
     * @param requestNumber the request
     */
    record Admit(long requestNumber) implements RateEffect {}

    /**
     * The request is over the rate, or its deadline passed while it waited.
     *
     * @param requestNumber the request
     * @param retryAfter time after which a token is expected
     */
    record Refuse(long requestNumber, Duration retryAfter) implements RateEffect {}

    /**
     * Ask a holder for tokens.
     *
     * @param holder the holder
     * @param loanIdentifier identifier of the loan
     * @param wanted tokens wanted
     */
    record Borrow(VmName holder, long loanIdentifier, int wanted) implements RateEffect {}

    /**
     * Report a loan to its lender.
     *
     * @param holder the lender
     * @param loanIdentifier the loan
     * @param spent tokens spent
     * @param unspent tokens given back
     */
    record Report(VmName holder, long loanIdentifier, int spent, int unspent) implements RateEffect {}

    /**
     * Answer a request for tokens.
     *
     * @param loan the loan
     * @param offer the answer
     */
    record Offer(LoanKey loan, LoanOffer offer) implements RateEffect {}
}
