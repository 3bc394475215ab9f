package org.geraniumproxy.standin.runtime;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** An executor with one daemon thread. A task that throws is logged, and later tasks still run. */
public final class SingleThreadExecutor implements SerialExecutor, AutoCloseable {
    private static final Logger log = Logger.getLogger(SingleThreadExecutor.class);

    private final Clock clock;
    private final ScheduledThreadPoolExecutor scheduler;

    private SingleThreadExecutor(Clock clock, ScheduledThreadPoolExecutor executor) {
        this.clock = clock;
        this.scheduler = executor;
    }

    /**
     * Starts an executor.
     *
     * @param name name of the thread
     * @param clock source of {@link #now}; delays follow the system's monotonic clock
     * @return the running executor
     */
    public static SingleThreadExecutor start(String name, Clock clock) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().name(name).daemon().factory());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        return new SingleThreadExecutor(clock, executor);
    }

    @Override
    public Instant now() {
        return clock.instant();
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        try {
            ScheduledFuture<?> unused =
                    scheduler.schedule(() -> runAndLog(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            log.debug("standin: dropped a task because the executor was closed", e);
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }

    private static void runAndLog(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error("standin: task failed", e);
        }
    }
}
