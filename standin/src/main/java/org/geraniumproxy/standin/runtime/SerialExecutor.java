package org.geraniumproxy.standin.runtime;

import java.time.Duration;
import java.time.Instant;

/** The one thread that owns the state of a stand-in, with its clock. */
public interface SerialExecutor {
    /**
     * Returns the time of the owner's clock.
     *
     * @return the present moment
     */
    Instant now();

    /**
     * Runs a task on the owner, after the tasks that were handed over before.
     *
     * @param task the task
     */
    void execute(Runnable task);

    /**
     * Runs a task on the owner after a delay.
     *
     * @param delay the delay
     * @param task the task
     */
    void schedule(Duration delay, Runnable task);
}
