package org.geraniumproxy.core.limit;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Token bucket of this VM's share and the loans made from it. Lent tokens are taken from the bucket and count against
 * the burst of the share until the loan is reported or expires, so that available and lent tokens together never exceed
 * the burst.
 *
 * @param share the current share
 * @param bucket available tokens
 * @param loans loans that are neither reported nor expired
 */
record LenderState(RateShare share, TokenBucket bucket, List<LentLoan> loans) {
    /** Loan from the lender's side. */
    record LentLoan(LoanKey key, long tokens, Instant expiresAt) {}

    /** State after a request for tokens, with the number of tokens granted. */
    record LendingResult(LenderState state, long granted) {}

    LenderState {
        loans = List.copyOf(loans);
        InvariantViolation.check(
                bucket.units() == 0 || bucket.units() <= capacity(share, loans) * TokenBucket.UNITS_PER_TOKEN,
                "available and lent tokens exceed the burst of the share");
    }

    static LenderState empty(Instant now) {
        return new LenderState(RateShare.NONE, TokenBucket.empty(now), List.of());
    }

    /** Refills the bucket at the previous share, removes expired loans, and applies the current share. */
    LenderState advance(Instant now, RateShare currentShare) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), capacity(share, loans));
        List<LentLoan> unexpired = loans;
        if (!loans.isEmpty()) {
            unexpired = loans.stream()
                    .filter(loan -> now.isBefore(loan.expiresAt()))
                    .toList();
        }
        return new LenderState(currentShare, refilled.limitTo(capacity(currentShare, unexpired)), unexpired);
    }

    /**
     * Lends at most the requested number of tokens. A repeated request returns the existing loan and takes no further
     * tokens.
     */
    LendingResult lend(LoanKey key, long wanted, Instant now, LimitTiming timing) {
        Optional<LentLoan> repeated = find(key);
        if (repeated.isPresent()) {
            return new LendingResult(this, repeated.get().tokens());
        }
        long granted = Math.min(wanted, bucket.wholeTokens());
        if (granted <= 0) {
            return new LendingResult(this, 0);
        }
        LentLoan loan = new LentLoan(key, granted, now.plus(timing.lenderValidity()));
        List<LentLoan> extended = Stream.concat(loans.stream(), Stream.of(loan)).toList();
        return new LendingResult(new LenderState(share, bucket.take(granted), extended), granted);
    }

    /** Closes a loan and puts its unspent tokens back. A report on a closed or expired loan has no effect. */
    LenderState closeLoan(LoanKey key, long spent, long unspent) {
        Optional<LentLoan> found = find(key);
        if (found.isEmpty()) {
            return this;
        }
        long givenBack = Math.max(0, Math.min(unspent, found.get().tokens() - Math.max(0, spent)));
        List<LentLoan> others =
                loans.stream().filter(loan -> !loan.key().equals(key)).toList();
        return new LenderState(share, bucket.add(givenBack).limitTo(capacity(share, others)), others);
    }

    LenderState takeOne() {
        InvariantViolation.check(bucket.wholeTokens() >= 1, "no whole token available");
        return new LenderState(share, bucket.take(1), loans);
    }

    long lentTokens() {
        return loans.stream().mapToLong(LentLoan::tokens).sum();
    }

    private Optional<LentLoan> find(LoanKey key) {
        return loans.stream().filter(loan -> loan.key().equals(key)).findFirst();
    }

    private static long capacity(RateShare share, List<LentLoan> loans) {
        long lent = 0;
        for (LentLoan loan : loans) {
            lent += loan.tokens();
        }
        return Math.max(0, share.burst() - lent);
    }
}
