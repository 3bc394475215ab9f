package org.geraniumproxy.proxy.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.outcome.RetryBudget;
import org.geraniumproxy.core.outcome.RetryDecision;

/** Retries within one budget for all requests of this VM. */
public final class BudgetedRetryPolicy implements RetryPolicy {
    private final AtomicReference<RetryBudget> budget = new AtomicReference<>(RetryBudget.FULL);
    private final Clock clock;

    /**
     * Creates the policy with a full budget.
     *
     * @param clock this VM's clock
     */
    public BudgetedRetryPolicy(Clock clock) {
        this.clock = clock;
    }

    @Override
    public void requestStarted() {
        budget.updateAndGet(RetryBudget::afterRequest);
    }

    @Override
    public Optional<Duration> pauseBeforeRetry(Outcome outcome, boolean repeatable, int tries, Duration timeLeft) {
        Instant now = clock.instant();
        Instant deadline = now.plus(timeLeft);
        while (true) {
            RetryBudget before = budget.get();
            switch (RetryDecision.of(outcome, repeatable, tries, before, deadline, now)) {
                case RetryDecision.Stop _ -> {
                    return Optional.empty();
                }
                case RetryDecision.Retry retry -> {
                    if (budget.compareAndSet(before, retry.budget())) {
                        return Optional.of(retry.delay());
                    }
                }
            }
        }
    }
}
