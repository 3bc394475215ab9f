package org.geraniumproxy.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Guards against a second run of what must run once, and against retries that multiply an overload. */
class RetryDecision_of_Test {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Instant DEADLINE = NOW.plusSeconds(1);

    @Test
    void should_never_repeat_an_unknown_outcome_that_may_not_be_repeated() {
        // when
        RetryDecision decision =
                RetryDecision.of(Outcome.unknown("no reply"), false, 1, RetryBudget.FULL, DEADLINE, NOW);

        // then
        assertThat(decision, equalTo(new RetryDecision.Stop(RetryDecision.StopCause.NOT_REPEATABLE)));
    }

    @Test
    void should_retry_what_was_not_run_for_a_passing_reason() {
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
        assertThat(decision, equalTo(new RetryDecision.Stop(RetryDecision.StopCause.DEADLINE)));
    }

    @Test
    void should_allow_a_tenth_of_the_requests_once_the_full_budget_is_used() {
        // given
        RetryBudget budget = RetryBudget.FULL;
        int retries = 0;

        // when every one of 1000 requests wants a retry
        for (int request = 0; request < 1000; request++) {
            budget = budget.withRequest();
            if (budget.allowsRetry()) {
                budget = budget.withRetry();
                retries++;
            }
        }

        // then
        assertThat(retries, is(RetryBudget.MINIMUM_RETRIES + 99));
    }
}
