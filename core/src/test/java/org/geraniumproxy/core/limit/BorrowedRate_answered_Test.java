package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.junit.jupiter.api.Test;

/** Guards against operations below the limit that are refused, and against refusals that come late or are not true. */
class BorrowedRate_answered_Test {
    private static final CustomerName CUSTOMER = CustomerName.of("troupe");
    private static final Duration WAIT = Duration.ofMillis(60);
    private static final long FIRST = 7;

    private Instant now = Instant.EPOCH;
    private BorrowedRate rate = BorrowedRate.initial(FIRST, now).withEqualPart(2, 1, now);
    private List<CustomerRateEffect> effects = List.of();

    @Test
    void should_wait_for_the_owner_instead_of_refusing() {
        arrive(1);
        assertThat(effects, contains(new CustomerRateEffect.Ask(FIRST + 1, 1, 0, WAIT)));
        now = now.plusMillis(24);
        answer(granted(FIRST + 1, 1, Duration.ofMillis(5)));
        assertThat(effects, contains(new CustomerRateEffect.Admit(1, Duration.ofMillis(5))));
    }

    @Test
    void should_refuse_at_once_what_the_owner_is_known_to_have_no_token_for() {
        arrive(1);
        answer(new TokenAnswer.Granted(CUSTOMER, FIRST + 1, 0, Duration.ZERO, Duration.ofMillis(300)));
        assertThat(effects, contains(refused(1, 300, TokenSource.OWNER)));
        now = now.plusMillis(100);
        arrive(2);
        assertThat(effects, contains(refused(2, 200, TokenSource.OWNER)));
        now = now.plusMillis(150);
        arrive(3);
        assertThat(effects.getFirst(), instanceOf(CustomerRateEffect.Ask.class));
    }

    /** Guards against refusing operations for which the owner was never asked. */
    @Test
    void should_ask_again_for_operations_that_arrived_after_the_request() {
        arrive(1);
        arrive(2);
        assertThat(effects, is(empty()));
        answer(granted(FIRST + 1, 1, Duration.ZERO));
        assertThat(
                effects,
                contains(
                        new CustomerRateEffect.Admit(1, Duration.ZERO),
                        new CustomerRateEffect.Ask(FIRST + 2, 1, 0, WAIT)));
    }

    @Test
    void should_repeat_a_lost_request_with_the_same_identifier() {
        arrive(1);
        now = now.plus(OwnerContact.RESEND_DELAY);
        timePassed();
        assertThat(effects, contains(new CustomerRateEffect.Ask(FIRST + 1, 1, 0, WAIT)));
        timePassed();
        assertThat(effects, is(empty()));
    }

    /** Guards against a refusal later than a quarter of a target latency of 400 ms. */
    @Test
    void should_use_the_equal_part_without_tokens_when_the_owner_is_silent() {
        arrive(1);
        now = now.plus(OwnerContact.ANSWER_TIMEOUT);
        timePassed();
        assertThat(effects, contains(refused(1, 0, TokenSource.EQUAL_PART)));
        arrive(2);
        now = now.plus(OwnerContact.ANSWER_TIMEOUT);
        timePassed();
        assertThat(
                effects, contains(new CustomerRateEffect.OwnerChanged(false), refused(2, 250, TokenSource.EQUAL_PART)));
        now = now.plusMillis(415);
        arrive(3);
        assertThat(effects.getFirst(), is(new CustomerRateEffect.Admit(3, Duration.ZERO)));
        now = now.plusMillis(10);
        arrive(4);
        assertThat(effects, contains(refused(4, 240, TokenSource.EQUAL_PART)));
    }

    /** Guards against one lost or late answer after which a customer gets its equal part only. */
    @Test
    void should_ask_again_at_once_after_one_timeout() {
        arrive(1);
        now = now.plus(OwnerContact.ANSWER_TIMEOUT);
        timePassed();
        arrive(2);
        assertThat(effects, contains(new CustomerRateEffect.Ask(FIRST + 2, 1, 0, WAIT)));
        answer(granted(FIRST + 2, 1, Duration.ZERO));
        assertThat(effects, contains(new CustomerRateEffect.Admit(2, Duration.ZERO)));
    }

    @Test
    void should_return_to_the_owner_when_it_answers_again() {
        arrive(1);
        answer(new TokenAnswer.NotLending(CUSTOMER, FIRST + 1));
        now = now.plus(OwnerContact.PROBE_INTERVAL);
        arrive(2);
        answer(granted(FIRST + 2, 1, Duration.ZERO));
        assertThat(effects, contains(new CustomerRateEffect.OwnerChanged(true)));
        arrive(3);
        assertThat(effects, contains(new CustomerRateEffect.Admit(3, Duration.ZERO)));
    }

    /** Guards against spending tokens that the owner has counted as lost, and answers of another request. */
    @Test
    void should_ignore_an_answer_that_is_not_awaited() {
        answer(granted(FIRST, 5, Duration.ZERO));
        arrive(1);
        assertThat(effects, contains(new CustomerRateEffect.Ask(FIRST + 1, 1, 0, WAIT)));
        answer(granted(FIRST, 5, Duration.ZERO));
        assertThat(effects, is(empty()));
        assertThat(rate.nextWakeAt(), is(Optional.of(now.plus(OwnerContact.RESEND_DELAY))));
    }

    @Test
    void should_not_spend_expired_tokens() {
        arrive(1);
        answer(granted(FIRST + 1, 2, Duration.ZERO));
        now = now.plus(BorrowedTokens.VALIDITY);
        arrive(2);
        assertThat(effects.getFirst(), instanceOf(CustomerRateEffect.Ask.class));
    }

    @Test
    void should_ask_the_new_owner_for_waiting_operations() {
        arrive(1);
        apply(rate.ownerReplaced(now));
        assertThat(effects, contains(new CustomerRateEffect.Ask(FIRST + 2, 1, 0, WAIT)));
    }

    @Test
    void should_borrow_ahead_for_a_customer_with_many_operations() {
        for (int operation = 0; operation < 40; operation++) {
            arrive(operation);
        }
        answer(granted(FIRST + 1, 1, Duration.ZERO));
        CustomerRateEffect last = effects.getLast();
        assertThat(last, is(new CustomerRateEffect.Ask(FIRST + 2, 39, 4, WAIT)));
    }

    private void arrive(long operation) {
        apply(rate.arrive(operation, WAIT, now));
    }

    private void answer(TokenAnswer answer) {
        apply(rate.answered(answer, now));
    }

    private void timePassed() {
        apply(rate.timePassed(now));
    }

    private void apply(Transition<BorrowedRate, CustomerRateEffect> transition) {
        rate = transition.state();
        effects = transition.effects();
    }

    private static TokenAnswer granted(long requestId, int tokens, Duration delay) {
        return new TokenAnswer.Granted(CUSTOMER, requestId, tokens, delay, Duration.ofMillis(1));
    }

    private static CustomerRateEffect refused(long operation, long retryAfter, TokenSource source) {
        return new CustomerRateEffect.Refuse(operation, Duration.ofMillis(retryAfter), source);
    }
}
