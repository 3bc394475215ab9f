package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;

/** What happens to the limit of one customer on one VM. */
public sealed interface RateEvent {
    /**
     * A request asks for a token.
     *
     * @param requestNumber number of the request, unique on this VM
     * @param deadline moment at which it is no longer wanted
     */
    record RequestArrived(long requestNumber, Instant deadline) implements RateEvent {}

    /**
     * Another VM asks for tokens.
     *
     * @param loan the loan
     * @param wanted tokens wanted
     */
    record LoanRequested(LoanKey loan, int wanted) implements RateEvent {}

    /**
     * Another VM reports how a loan was used.
     *
     * @param loan the loan
     * @param spent tokens spent
     * @param unspent tokens given back
     */
    record LoanReported(LoanKey loan, int spent, int unspent) implements RateEvent {}

    /**
     * A holder answered a request for tokens.
     *
     * @param loanIdentifier the loan
     * @param granted tokens granted
     * @param validity validity of the loan that the lender names
     * @param remaining tokens that remain with the lender
     */
    record OfferArrived(long loanIdentifier, int granted, Duration validity, int remaining) implements RateEvent {}

    /**
     * A holder could not be reached.
     *
     * @param loanIdentifier the loan
     */
    record HolderUnreachable(long loanIdentifier) implements RateEvent {}

    /** Time has passed or the view has changed. */
    record TimePassed() implements RateEvent {}
}
