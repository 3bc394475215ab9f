package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.outcome.Outcome;

/** Decides whether a request that a backend server may have received is tried again. */
public interface RetryPolicy {
    /** Notes a new request, which adds to the retry budget. */
    void requestStarted();

    /**
     * Decides about a further try and takes it from the budget.
     *
     * @param outcome how the last try ended
     * @param repeatable whether the request may run more than once
     * @param tries number of tries so far, at least one
     * @param timeLeft time until the deadline
     * @return pause before the next try, or empty if there is none
     */
    Optional<Duration> pauseBeforeRetry(Outcome outcome, boolean repeatable, int tries, Duration timeLeft);
}
