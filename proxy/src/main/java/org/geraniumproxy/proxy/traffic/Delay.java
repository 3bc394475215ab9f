package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Waits without holding a thread. Tests replace it to control time. */
@FunctionalInterface
public interface Delay {
    /** Delays by the time of the system. */
    Delay SYSTEM = duration -> new CompletableFuture<Void>()
            .completeOnTimeout(null, Math.max(0, duration.toMillis()), TimeUnit.MILLISECONDS);

    /**
     * Starts a delay.
     *
     * @param duration its length
     * @return completes when the delay is over; completing it earlier ends the delay
     */
    CompletableFuture<Void> after(Duration duration);
}
