package org.geraniumproxy.standin.runtime;

import java.time.Duration;
import java.time.Instant;

/** Runs the tasks of a stand-in one at a time, so that its state needs no locks, and tells the time. */
public interface SerialExecutor {
    /**
     * Returns the time by which delays are measured.
     *
     * @return the current time
     */
    Instant now();

    /**
     * Runs a task after the tasks that were submitted earlier.
     *
     * @param task the task
     */
    void execute(Runnable task);

    /**
     * Runs a task after a delay.
     *
     * @param delay the delay
     * @param task the task
     */
    void schedule(Duration delay, Runnable task);
}
