package org.geraniumproxy.core.limit;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * The bucket of this VM's share and the tokens it has lent. Lent tokens leave the bucket and count against the burst of
 * the share until they are reported, given back or expired, so that the tokens a share has outside and inside never
 * exceed its burst.
 *
 * @param share the share in force
 * @param bucket tokens at hand
 * @param loans loans that are neither reported nor expired
 */
record LenderState(RateShare share, TokenBucket bucket, List<LentLoan> loans) {
    /** A loan as the lender sees it. */
    record LentLoan(LoanKey key, long tokens, Instant expiresAt) {}

    /** State after a grant, with the tokens granted. */
    record LendingResult(LenderState state, long granted) {}

    LenderState {
        loans = List.copyOf(loans);
        InvariantViolation.check(
                bucket.units() == 0 || bucket.units() <= capacity(share, loans) * TokenBucket.UNITS_PER_TOKEN,
                "tokens at hand and lent tokens together stay within the burst of the share");
    }

    static LenderState empty(Instant now) {
        return new LenderState(RateShare.NONE, TokenBucket.empty(now), List.of());
    }

    /** Refills with the share that was in force until now, drops expired loans, and puts the present share in force. */
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

    /** Lends at most the wanted tokens. A repeated request gets the same loan again and takes nothing more. */
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

    /** Closes a loan. A report of a loan that is closed or expired changes nothing. */
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
        InvariantViolation.check(bucket.wholeTokens() >= 1, "only a whole token admits a request");
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
