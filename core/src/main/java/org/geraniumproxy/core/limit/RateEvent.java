package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;

/** Input for the limit of one customer on one VM. */
public sealed interface RateEvent {
    /**
     * A request needs a token.
     *
     * @param requestNumber number of the request, unique on this VM
     * @param deadline time at which the caller stops waiting
     */
    record RequestArrived(long requestNumber, Instant deadline) implements RateEvent {}

    /**
     * Another VM requests tokens.
     *
     * @param loan key of the loan; a repeated request has the same key
     * @param wanted number of tokens requested
     */
    record LoanRequested(LoanKey loan, int wanted) implements RateEvent {}

    /**
     * Another VM reports how it used a loan.
     *
     * @param loan key of the loan
     * @param spent tokens spent
     * @param unspent tokens returned
     */
    record LoanReported(LoanKey loan, int spent, int unspent) implements RateEvent {}

    /**
     * A holder has answered a request for tokens.
     *
     * @param loanIdentifier identifier of the loan
     * @param granted tokens granted, zero if the holder is empty
     * @param validity validity of the loan as stated by the lender
     * @param remaining tokens left at the lender
     */
    record OfferArrived(long loanIdentifier, int granted, Duration validity, int remaining) implements RateEvent {}

    /**
     * A holder could not be reached.
     *
     * @param loanIdentifier identifier of the requested loan
     */
    record HolderUnreachable(long loanIdentifier) implements RateEvent {}

    /** Time has passed or the view has changed. */
    record TimePassed() implements RateEvent {}
}
