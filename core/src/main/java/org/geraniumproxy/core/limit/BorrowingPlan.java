package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.BorrowerState.BorrowedLoan;

/** Decides how many tokens to request from which holders, and which loans to return. */
final class BorrowingPlan {
    /** Time after which a holder that does not answer counts as unreachable; several times the longest round trip. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(250);

    /** How far ahead of demand tokens are borrowed: two round trips between regions plus some variation. */
    private static final Duration DEMAND_LOOKAHEAD = Duration.ofMillis(60);

    /** Time after which unspent tokens are returned, so that another VM can use them before they expire. */
    private static final Duration IDLE_LOAN_TIMEOUT = Duration.ofMillis(150);

    /**
     * Minimum time between two requests to the same holder. It bounds the messages sent by a VM with waiting requests.
     */
    private static final Duration MINIMUM_REQUEST_INTERVAL = Duration.ofMillis(10);

    /** Maximum tokens per loan, which bounds the tokens wasted by a lost reply. */
    private static final int MAXIMUM_LOAN_TOKENS = 64;

    /** Tokens requested per waiting request. With two, an empty holder does not cost a second round trip. */
    private static final int TOKENS_PER_WAITING_REQUEST = 2;

    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MILLI_TOKENS_PER_TOKEN = 1000;

    private BorrowingPlan() {}

    static CustomerLimit plan(CustomerLimit limit, LimitView view, Instant now, List<RateEffect> effects) {
        return requestTokens(returnIdleLoans(limit, now, effects), view, now, effects);
    }

    static void removeExpired(List<BorrowedLoan> loans, Instant now, List<RateEffect> effects) {
        loans.removeIf(loan -> {
            boolean expired = !now.isBefore(loan.expiresAt());
            if (expired) {
                effects.add(report(loan));
            }
            return expired;
        });
    }

    /** Spends a token of the loan that expires first; returns false if no loan has any left. */
    static boolean spendOne(List<BorrowedLoan> loans) {
        for (int index = 0; index < loans.size(); index++) {
            if (loans.get(index).unspent() > 0) {
                loans.set(index, loans.get(index).spendOne());
                return true;
            }
        }
        return false;
    }

    static void removeSpent(List<BorrowedLoan> loans, List<RateEffect> effects) {
        loans.removeIf(loan -> {
            boolean used = loan.unspent() == 0;
            if (used) {
                effects.add(report(loan));
            }
            return used;
        });
    }

    private static CustomerLimit returnIdleLoans(CustomerLimit limit, Instant now, List<RateEffect> effects) {
        List<BorrowedLoan> loans = limit.borrower().loans();
        List<BorrowedLoan> kept = loans.stream()
                .filter(loan -> now.isBefore(loan.arrivedAt().plus(IDLE_LOAN_TIMEOUT)))
                .toList();
        loans.stream().filter(loan -> !kept.contains(loan)).forEach(loan -> effects.add(report(loan)));
        return kept.size() == loans.size() ? limit : limit.with(limit.borrower().withLoans(kept));
    }

    private static CustomerLimit requestTokens(
            CustomerLimit limit, LimitView view, Instant now, List<RateEffect> effects) {
        int missing = missingTokens(limit, now);
        BorrowerState borrower = limit.borrower();
        List<VmName> candidates = missing > 0 ? candidates(borrower, view, now) : List.of();
        int tokensPerHolder =
                candidates.isEmpty() ? 0 : Math.min(MAXIMUM_LOAN_TOKENS, Math.ceilDiv(missing, candidates.size()));
        for (VmName holder : candidates) {
            if (missing <= 0) {
                break;
            }
            effects.add(new RateEffect.Borrow(holder, borrower.nextLoanIdentifier(), tokensPerHolder));
            borrower = borrower.withRequest(holder, tokensPerHolder, now);
            missing -= tokensPerHolder;
        }
        return limit.with(borrower);
    }

    private static int missingTokens(CustomerLimit limit, Instant now) {
        double ownRate = limit.lender().share().milliTokensPerSecond() / MILLI_TOKENS_PER_TOKEN;
        double shortfall = Math.max(0, limit.demand().perSecondAt(now) - ownRate);
        int lookaheadTokens = (int) Math.ceil(shortfall * DEMAND_LOOKAHEAD.toNanos() / NANOSECONDS_PER_SECOND);
        int wanted = lookaheadTokens + TOKENS_PER_WAITING_REQUEST * limit.waitingRequestCount();
        long available = limit.usableTokens() + limit.borrower().pendingTokens();
        return (int) Math.max(0, wanted - available);
    }

    private static List<VmName> candidates(BorrowerState borrower, LimitView view, Instant now) {
        return view.reachable().stream()
                .filter(holder -> !borrower.hasPendingRequest(holder))
                .filter(holder -> borrower.lastRequestSentAt(holder).isBefore(now.minus(MINIMUM_REQUEST_INTERVAL)))
                .sorted(Comparator.<VmName>comparingInt(holder -> -borrower.expectedTokens(holder))
                        .thenComparing(borrower::lastRequestSentAt))
                .toList();
    }

    private static RateEffect report(BorrowedLoan loan) {
        return new RateEffect.Report(loan.holder(), loan.identifier(), loan.spent(), loan.unspent());
    }
}
