package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against tokens created by repeated, late or incorrect messages. */
class LenderState_lend_Test {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final RateShare SHARE = new RateShare(10_000, 5);
    private static final LoanKey LOAN = new LoanKey(VmName.of("vm-1"), 1);

    private final LenderState full = LenderState.empty(NOW).advance(NOW, SHARE).advance(NOW.plusSeconds(10), SHARE);
    private final Instant later = NOW.plusSeconds(10);

    @Test
    void should_take_tokens_once_when_a_request_arrives_twice() {
        // when
        LenderState lent = full.lend(LOAN, 3, later, LimitTiming.STANDARD).state();
        LenderState.LendingResult repeated = lent.lend(LOAN, 3, later, LimitTiming.STANDARD);

        // then
        assertThat(repeated.granted(), is(3L));
        assertThat(repeated.state().bucket().wholeTokens(), is(2L));
    }

    @Test
    void should_not_refill_the_capacity_taken_by_lent_tokens() {
        // given
        LenderState lent = full.lend(LOAN, 3, later, LimitTiming.STANDARD).state();

        // when
        LenderState refilled = lent.advance(later.plusMillis(900), SHARE);

        // then
        assertThat(refilled.bucket().wholeTokens(), is(2L));
    }

    @Test
    void should_count_expired_tokens_as_spent() {
        // given
        LenderState lent = full.lend(LOAN, 5, later, LimitTiming.STANDARD).state();

        // when
        LenderState expired = lent.advance(later.plus(Duration.ofSeconds(1)), SHARE);

        // then
        assertThat(expired.lentTokens(), is(0L));
        assertThat(expired.bucket().wholeTokens(), is(0L));
    }

    @Test
    void should_accept_a_report_once_and_never_more_than_was_lent() {
        // given
        LenderState lent = full.lend(LOAN, 3, later, LimitTiming.STANDARD).state();

        // when
        LenderState reported = lent.closeLoan(LOAN, 1, 50).closeLoan(LOAN, 0, 3);

        // then
        assertThat(reported.bucket().wholeTokens(), is(4L));
    }
}
