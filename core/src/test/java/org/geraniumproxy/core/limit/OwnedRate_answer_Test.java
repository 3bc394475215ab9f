package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against an owner that lends more than the rate and burst, or refuses what the rate allows. */
class OwnedRate_answer_Test {
    private static final CustomerName CUSTOMER = CustomerName.of("troupe");
    private static final VmName BORROWER = VmName.of("vm-2");
    private static final Instant START = Instant.EPOCH;
    private static final Instant LENDS_FROM = START.plus(OwnedRate.TAKEOVER_DELAY);

    private OwnedRate rate = OwnedRate.initial(20, 20, OwnedRate.TAKEOVER_DELAY, START);
    private long requests;

    @Test
    void should_lend_nothing_until_the_previous_owner_has_stopped() {
        assertThat(ask(1, Duration.ofSeconds(9), LENDS_FROM.minusNanos(1)), instanceOf(TokenAnswer.NotLending.class));
        assertThat(ask(1, Duration.ZERO, LENDS_FROM), instanceOf(TokenAnswer.Granted.class));
        assertThat(granted(1, Duration.ZERO, LENDS_FROM).granted(), is(0));
    }

    @Test
    void should_promise_a_token_that_is_due_within_the_wait() {
        Instant empty = drain();
        TokenAnswer.Granted granted = granted(1, Duration.ofMillis(60), empty);
        assertThat(granted.granted(), is(1));
        assertThat(granted.delay(), is(Duration.ofMillis(50)));
        TokenAnswer.Granted next = granted(1, Duration.ofMillis(60), empty);
        assertThat(next.granted(), is(0));
        assertThat(next.retryAfter(), is(Duration.ofMillis(100)));
    }

    /** Guards against a datagram that is sent twice and takes two tokens. */
    @Test
    void should_answer_a_repeated_request_with_the_same_tokens() {
        TokenRequest request = new TokenRequest(BORROWER, CUSTOMER, 9, 3, 0, Duration.ZERO);
        OwnedRate.Result first = rate.answer(request, LENDS_FROM);
        OwnedRate.Result second = first.next().answer(request, LENDS_FROM);
        assertThat(second.answer(), is(first.answer()));
        assertThat(second.next().bucket(), is(first.next().bucket()));
    }

    @Test
    void should_lend_ahead_only_what_is_available_at_once() {
        Instant empty = drain();
        rate = rate.withLimits(20, 20, empty);
        OwnedRate.Result result =
                rate.answer(new TokenRequest(BORROWER, CUSTOMER, 99, 1, 5, Duration.ofMillis(60)), empty);
        assertThat(((TokenAnswer.Granted) result.answer()).granted(), is(1));
    }

    @Test
    void should_lend_no_more_than_rate_and_burst_in_any_window() {
        int granted = 0;
        for (int millisecond = 0; millisecond < 10_000; millisecond++) {
            int tokens = granted(1, Duration.ZERO, LENDS_FROM.plusMillis(millisecond))
                    .granted();
            granted += millisecond >= 5_000 ? tokens : 0;
        }
        assertThat(granted, is(lessThanOrEqualTo(5 * 20 + 20)));
        assertThat(granted, is(greaterThan(95)));
    }

    @Test
    void should_lend_the_tokens_of_a_handover_at_once_but_only_once() {
        rate = rate.withHandover(3, START).withHandover(9, START);
        assertThat(granted(9, Duration.ZERO, START).granted(), is(3));
    }

    /**
     * Guards against an owner that hears from the other holders during its takeover and then refuses what the rate
     * allows, because it counted the tokens of the rest of the takeover at the lower rate.
     */
    @Test
    void should_lend_the_whole_rate_from_the_end_of_the_takeover_after_the_limits_rose() {
        rate = OwnedRate.initial(5_000, 5_000, OwnedRate.TAKEOVER_DELAY, START)
                .withLimits(1_250, 1_250, START)
                .withLimits(5_000, 5_000, START.plusMillis(400));
        TokenAnswer.Granted answer = granted(1, Duration.ZERO, LENDS_FROM.plusMillis(1));
        assertThat(answer.granted(), is(1));
    }

    /** Guards against a bucket that fills during the takeover, in which the equal parts are used. */
    @Test
    void should_begin_without_tokens_after_limits_rose_or_fell_during_the_takeover() {
        OwnedRate raised = OwnedRate.initial(1_250, 1_250, OwnedRate.TAKEOVER_DELAY, START)
                .withLimits(5_000, 5_000, START.plusMillis(400));
        OwnedRate loweredAndRaised = OwnedRate.initial(5_000, 5_000, OwnedRate.TAKEOVER_DELAY, START)
                .withLimits(1_250, 1_250, START.plusMillis(400))
                .withLimits(5_000, 5_000, START.plusMillis(800));
        assertThat(raised.availableTokens(LENDS_FROM), is(0L));
        assertThat(loweredAndRaised.availableTokens(LENDS_FROM), is(0L));
        assertThat(raised.availableTokens(LENDS_FROM.plusMillis(10)), is(50L));
        assertThat(loweredAndRaised.availableTokens(LENDS_FROM.plusMillis(10)), is(50L));
    }

    /** Guards against a lowered limit that is used up from tokens of the higher one. */
    @Test
    void should_discard_tokens_beyond_a_lowered_burst() {
        assertThat(granted(1, Duration.ZERO, LENDS_FROM).granted(), is(0));
        Instant full = LENDS_FROM.plusSeconds(10);
        rate = rate.withLimits(2, 3, full);
        assertThat(granted(50, Duration.ZERO, full).granted(), is(3));
        assertThat(granted(1, Duration.ofMillis(499), full).granted(), is(0));
        assertThat(granted(1, Duration.ofMillis(500), full).granted(), is(1));
    }

    @Test
    void should_never_lend_tokens_of_a_customer_without_a_rate() {
        rate = OwnedRate.initial(0, 5, OwnedRate.TAKEOVER_DELAY, START);
        TokenAnswer.Granted answer = granted(1, Duration.ofHours(1), LENDS_FROM);
        assertThat(answer.granted(), is(0));
        assertThat(answer.retryAfter(), is(PacedRate.NEVER));
    }

    private Instant drain() {
        granted(1_000, Duration.ZERO, LENDS_FROM);
        return LENDS_FROM;
    }

    private TokenAnswer.Granted granted(int needed, Duration wait, Instant now) {
        return (TokenAnswer.Granted) ask(needed, wait, now);
    }

    private TokenAnswer ask(int needed, Duration wait, Instant now) {
        requests++;
        OwnedRate.Result result = rate.answer(new TokenRequest(BORROWER, CUSTOMER, requests, needed, 0, wait), now);
        rate = result.next();
        return result.answer();
    }
}
