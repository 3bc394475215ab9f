package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Tokens that a VM has borrowed from the owner of a rate.
 *
 * @param count number of tokens that are not spent
 * @param usableAt time from which they may be used
 * @param expiresAt time from which they may not be used any more
 */
record BorrowedTokens(int count, Instant usableAt, Instant expiresAt) {
    /** Time for which a borrowed token may be used. */
    static final Duration VALIDITY = Duration.ofSeconds(1);

    static BorrowedTokens none(Instant now) {
        return new BorrowedTokens(0, now, now);
    }

    BorrowedTokens add(int granted, Duration delay, Instant now) {
        int valid = isSpendable(now) ? count : 0;
        Instant usable = now.plus(delay);
        return new BorrowedTokens(valid + granted, usable, usable.plus(VALIDITY));
    }

    boolean isSpendable(Instant now) {
        return count > 0 && now.isBefore(expiresAt);
    }

    BorrowedTokens spendOne() {
        return new BorrowedTokens(count - 1, usableAt, expiresAt);
    }

    /** Returns the time until the tokens may be used. */
    Duration delay(Instant now) {
        return now.isBefore(usableAt) ? Duration.between(now, usableAt) : Duration.ZERO;
    }
}
