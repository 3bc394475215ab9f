package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;

/**
 * Rate limit of one customer on one VM: its share, the tokens lent and borrowed, and the requests that wait for a
 * token.
 *
 * <p>Example: {@code limit.on(new RateEvent.RequestArrived(1, deadline), view, now)} returns the next limit and, if a
 * token is available, the effect {@link RateEffect.Admit}.
 *
 * @param timing durations on which the safety of the limit depends
 * @param schedule holder positions that determine the share
 * @param lender token bucket of the share and the loans made from it
 * @param borrower tokens borrowed from other holders
 * @param waitingRequests requests that wait for a token, in order of arrival
 * @param demand estimated requests per second at this VM
 */
public record CustomerLimit(
        LimitTiming timing,
        ShareSchedule schedule,
        LenderState lender,
        BorrowerState borrower,
        List<WaitingRequest> waitingRequests,
        DemandEstimate demand) {
    /** Maximum time between two evaluations of a limit, so that an expired view is always noticed. */
    static final Duration IDLE_WAKE_INTERVAL = Duration.ofMillis(250);

    private static final Duration ACTIVE_WAKE_INTERVAL = Duration.ofMillis(50);
    private static final Duration WAITING_WAKE_INTERVAL = Duration.ofMillis(10);
    private static final Duration MINIMUM_WAKE_INTERVAL = Duration.ofMillis(1);

    /** Makes the list immutable. */
    public CustomerLimit {
        waitingRequests = List.copyOf(waitingRequests);
    }

    /**
     * Returns the limit of a customer before the first event. It has no tokens.
     *
     * @param timing durations on which the safety of the limit depends
     * @param firstLoanIdentifier identifier of the first loan, higher than any that this VM has used before
     * @param now the current time
     * @return the limit
     */
    public static CustomerLimit initial(LimitTiming timing, long firstLoanIdentifier, Instant now) {
        return new CustomerLimit(
                timing,
                ShareSchedule.UNKNOWN,
                LenderState.empty(now),
                BorrowerState.empty(firstLoanIdentifier),
                List.of(),
                DemandEstimate.none(now));
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param view the VM's current view of the limit
     * @param now the current time
     * @return the next limit and its effects
     */
    public Transition<CustomerLimit, RateEffect> on(RateEvent event, LimitView view, Instant now) {
        List<RateEffect> effects = new ArrayList<>();
        CustomerLimit next = advance(view, now)
                .apply(event, now, effects)
                .admitWaiting(now, effects)
                .refuseOverRate(view, now, effects);
        next = BorrowingPlan.plan(next, view, now, effects);
        InvariantViolation.check(
                next.waitingRequests.isEmpty() || next.usableTokens() == 0,
                "requests wait although tokens are available");
        return Transition.to(next, effects);
    }

    /**
     * Returns when the limit must be evaluated again if no event arrives earlier.
     *
     * @param now the current time
     * @return time at which to send {@link RateEvent.TimePassed}
     */
    public Instant nextWakeAt(Instant now) {
        if (waitingRequests.isEmpty()) {
            boolean idle =
                    borrower.loans().isEmpty() && borrower.pendingRequests().isEmpty();
            return now.plus(idle ? IDLE_WAKE_INTERVAL : ACTIVE_WAKE_INTERVAL);
        }
        Duration wait = lender.bucket().timeUntil(1, lender.share().milliTokensPerSecond());
        Duration bounded = wait.compareTo(WAITING_WAKE_INTERVAL) < 0 ? wait : WAITING_WAKE_INTERVAL;
        return now.plus(bounded.compareTo(MINIMUM_WAKE_INTERVAL) < 0 ? MINIMUM_WAKE_INTERVAL : bounded);
    }

    /**
     * Returns the tokens that requests at this VM can use now.
     *
     * @return whole tokens of the share plus borrowed tokens
     */
    public long usableTokens() {
        return lender.bucket().wholeTokens() + borrower.usableTokens();
    }

    /**
     * Returns the number of requests waiting for a token.
     *
     * @return the number
     */
    public int waitingRequestCount() {
        return waitingRequests.size();
    }

    /**
     * Returns the tokens lent to other VMs.
     *
     * @return tokens of loans that are neither reported nor expired
     */
    public long lentTokens() {
        return lender.lentTokens();
    }

    /**
     * Tells whether the limit can be discarded: no request waits and no loan is open in either direction.
     *
     * @return true if it can be discarded once its customer is no longer configured
     */
    public boolean isUnused() {
        return waitingRequests.isEmpty()
                && borrower.loans().isEmpty()
                && borrower.pendingRequests().isEmpty()
                && lender.loans().isEmpty();
    }

    private CustomerLimit advance(LimitView view, Instant now) {
        ShareSchedule observed = schedule.observe(view.self(), view.holders(), view.provenAt(), now, timing);
        LenderState advanced = lender.advance(now, observed.share(view));
        BorrowerState current = borrower.withRequestsTimedOutBefore(now.minus(BorrowingPlan.ANSWER_TIMEOUT));
        return new CustomerLimit(timing, observed, advanced, current, waitingRequests, demand);
    }

    private CustomerLimit apply(RateEvent event, Instant now, List<RateEffect> effects) {
        return switch (event) {
            case RateEvent.RequestArrived arrived -> enqueue(arrived, now);
            case RateEvent.LoanRequested requested -> lend(requested, now, effects);
            case RateEvent.LoanReported reported ->
                with(lender.closeLoan(reported.loan(), reported.spent(), reported.unspent()));
            case RateEvent.OfferArrived offer -> acceptOffer(offer, now);
            case RateEvent.HolderUnreachable unreachable ->
                with(borrower.findPendingRequest(unreachable.loanIdentifier())
                        .map(request -> borrower.withAnswer(request, 0, 0))
                        .orElse(borrower));
            case RateEvent.TimePassed _ -> this;
        };
    }

    private CustomerLimit enqueue(RateEvent.RequestArrived arrived, Instant now) {
        WaitingRequest request = new WaitingRequest(arrived.requestNumber(), now, arrived.deadline());
        List<WaitingRequest> extended =
                Stream.concat(waitingRequests.stream(), Stream.of(request)).toList();
        return new CustomerLimit(timing, schedule, lender, borrower, extended, demand.withArrival(now));
    }

    private CustomerLimit lend(RateEvent.LoanRequested requested, Instant now, List<RateEffect> effects) {
        boolean canLend = schedule.isCurrent() && waitingRequests.isEmpty();
        LenderState.LendingResult lent =
                lender.lend(requested.loan(), canLend ? Math.max(0, requested.wanted()) : 0, now, timing);
        int remaining = canLend ? saturatedCast(lent.state().bucket().wholeTokens()) : 0;
        LoanOffer offer = new LoanOffer(saturatedCast(lent.granted()), LimitTiming.LOAN_VALIDITY, remaining);
        effects.add(new RateEffect.Offer(requested.loan(), offer));
        return with(lent.state());
    }

    /** Ignores an offer without a pending request, such as one that timed out; its tokens expire at the lender. */
    private CustomerLimit acceptOffer(RateEvent.OfferArrived offer, Instant now) {
        Optional<BorrowerState.LoanRequest> request = borrower.findPendingRequest(offer.loanIdentifier());
        if (request.isEmpty()) {
            return this;
        }
        BorrowerState answered = borrower.withAnswer(request.get(), offer.granted(), offer.remaining());
        Duration validity = offer.validity().compareTo(timing.borrowerValidity()) < 0
                ? offer.validity()
                : timing.borrowerValidity();
        Instant expiresAt = request.get().sentAt().plus(validity);
        if (offer.granted() <= 0 || !now.isBefore(expiresAt)) {
            return with(answered);
        }
        return with(answered.withLoan(new BorrowerState.BorrowedLoan(
                request.get().holder(), offer.loanIdentifier(), offer.granted(), 0, now, expiresAt)));
    }

    /** Spends borrowed tokens before own ones, because they expire. */
    private CustomerLimit admitWaiting(Instant now, List<RateEffect> effects) {
        List<BorrowerState.BorrowedLoan> loans = new ArrayList<>(borrower.loans());
        BorrowingPlan.removeExpired(loans, now, effects);
        LenderState remainingLender = lender;
        int handled = 0;
        for (WaitingRequest request : waitingRequests) {
            boolean inTime = now.isBefore(request.deadline());
            if (inTime && !BorrowingPlan.spendOne(loans)) {
                if (remainingLender.bucket().wholeTokens() == 0) {
                    break;
                }
                remainingLender = remainingLender.takeOne();
            }
            effects.add(
                    inTime
                            ? new RateEffect.Admit(request.requestNumber())
                            : new RateEffect.Refuse(request.requestNumber(), retryAfter()));
            handled++;
        }
        BorrowingPlan.removeSpent(loans, effects);
        List<WaitingRequest> remaining = waitingRequests.subList(handled, waitingRequests.size());
        return new CustomerLimit(timing, schedule, remainingLender, borrower.withLoans(loans), remaining, demand);
    }

    private CustomerLimit refuseOverRate(LimitView view, Instant now, List<RateEffect> effects) {
        if (waitingRequests.isEmpty()) {
            return this;
        }
        Instant allEmptySince = RefusalRule.allEmptySince(borrower, view, now);
        List<WaitingRequest> remaining = new ArrayList<>();
        for (WaitingRequest request : waitingRequests) {
            boolean late = !now.isBefore(request.deadline());
            if (late || RefusalRule.isOverRate(request, remaining.size(), allEmptySince, view, now)) {
                effects.add(new RateEffect.Refuse(request.requestNumber(), retryAfter()));
            } else {
                remaining.add(request);
            }
        }
        return new CustomerLimit(timing, schedule, lender, borrower, remaining, demand);
    }

    private Duration retryAfter() {
        return lender.bucket().timeUntil(1, lender.share().milliTokensPerSecond());
    }

    CustomerLimit with(LenderState next) {
        return new CustomerLimit(timing, schedule, next, borrower, waitingRequests, demand);
    }

    CustomerLimit with(BorrowerState next) {
        return new CustomerLimit(timing, schedule, lender, next, waitingRequests, demand);
    }

    private static int saturatedCast(long value) {
        return (int) Math.min(value, Integer.MAX_VALUE);
    }
}
