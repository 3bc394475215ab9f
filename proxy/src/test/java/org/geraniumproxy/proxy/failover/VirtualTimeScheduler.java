package org.geraniumproxy.proxy.failover;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.standin.runtime.VirtualTimeExecutor;

/** Scheduler whose tasks run when a test advances the virtual time. */
final class VirtualTimeScheduler extends AbstractExecutorService implements ScheduledExecutorService {
    private final VirtualTimeExecutor executor;

    VirtualTimeScheduler(VirtualTimeExecutor executor) {
        this.executor = executor;
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Timer timer = new Timer(command);
        executor.schedule(Duration.ofNanos(unit.toNanos(delay)), timer::runOnce);
        return timer;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initialDelay, long delay, TimeUnit unit) {
        Timer timer = new Timer(command);
        repeat(timer, initialDelay, delay, unit);
        return timer;
    }

    private void repeat(Timer timer, long initialDelay, long delay, TimeUnit unit) {
        executor.schedule(Duration.ofNanos(unit.toNanos(initialDelay)), () -> {
            if (!timer.isCancelled()) {
                timer.runOnce();
                repeat(timer, delay, delay, unit);
            }
        });
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("not needed by the supervision");
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initialDelay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException("not needed by the supervision");
    }

    @Override
    public void execute(Runnable command) {
        executor.execute(command);
    }

    @Override
    public void shutdown() {}

    @Override
    public List<Runnable> shutdownNow() {
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    private static final class Timer extends FutureTask<Void> implements ScheduledFuture<Void> {
        private final Runnable command;

        Timer(Runnable command) {
            super(() -> null);
            this.command = command;
        }

        void runOnce() {
            if (!isCancelled()) {
                command.run();
            }
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }
}
