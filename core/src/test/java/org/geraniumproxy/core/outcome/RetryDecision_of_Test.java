package org.geraniumproxy.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Guards against running a non-repeatable request twice and against retries that amplify an overload. */
class RetryDecision_of_Test {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant DEADLINE = NOW.plusSeconds(1);

    @Test
    void should_never_retry_a_non_repeatable_request_with_an_unknown_outcome() {
        // when
        RetryDecision decision =
                RetryDecision.of(Outcome.unknown("no reply"), false, 1, RetryBudget.FULL, DEADLINE, NOW);

        // then
        assertThat(decision, equalTo(new RetryDecision.Stop(RetryDecision.StopReason.NOT_REPEATABLE_REQUEST)));
    }

    @Test
    void should_retry_a_request_rejected_for_a_transient_reason() {
        // when
        RetryDecision decision = RetryDecision.of(
                Outcome.notRun(NotRunReason.NO_PRIMARY, ""), false, 1, RetryBudget.FULL, DEADLINE, NOW);

        // then
        assertThat(decision, instanceOf(RetryDecision.Retry.class));
    }

    @Test
    void should_not_retry_past_the_deadline() {
        // when
        RetryDecision decision =
                RetryDecision.of(Outcome.unknown("no reply"), true, 1, RetryBudget.FULL, NOW.plusMillis(5), NOW);

        // then
        assertThat(decision, equalTo(new RetryDecision.Stop(RetryDecision.StopReason.DEADLINE_EXCEEDED)));
    }

    @Test
    void should_limit_retries_to_a_tenth_of_the_requests_once_the_initial_budget_is_used() {
        // given
        RetryBudget budget = RetryBudget.FULL;
        int retries = 0;

        // when each of 1000 requests asks for a retry
        for (int request = 0; request < 1000; request++) {
            budget = budget.afterRequest();
            if (budget.allowsRetry()) {
                budget = budget.afterRetry();
                retries++;
            }
        }

        // then
        assertThat(retries, is(RetryBudget.FULL_BUDGET_RETRIES + 99));
    }
}
