package org.geraniumproxy.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Event loop with a dedicated daemon thread. */
final class ThreadEventLoop implements EventLoop, AutoCloseable {
    private static final Logger log = Logger.getLogger(ThreadEventLoop.class);

    private final Clock clock;
    private final ScheduledThreadPoolExecutor executor;

    private ThreadEventLoop(Clock clock, ScheduledThreadPoolExecutor executor) {
        this.clock = clock;
        this.executor = executor;
    }

    static ThreadEventLoop start(Clock clock) {
        return new ThreadEventLoop(
                clock,
                new ScheduledThreadPoolExecutor(
                        1, Thread.ofPlatform().name("geraniumctl").daemon().factory()));
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
        Future<?> unused = executor.schedule(() -> runAndLog(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static void runAndLog(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error("config: task failed", e);
        }
    }
}
