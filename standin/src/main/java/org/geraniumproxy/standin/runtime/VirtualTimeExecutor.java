package org.geraniumproxy.standin.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * An executor with virtual time, which only {@link #advance} moves. It runs tasks on the thread that submits them, so
 * it must be used from one test thread and with in-process channels that have a direct executor.
 *
 * <pre>{@code
 * VirtualTimeExecutor executor = VirtualTimeExecutor.at(Instant.EPOCH);
 * executor.advance(Duration.ofMillis(50)); // runs the tasks that are due, in order of time
 * }</pre>
 */
public final class VirtualTimeExecutor implements SerialExecutor {
    private record Timer(Instant due, long number, Runnable task) {}

    private final Queue<Runnable> readyTasks = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparingLong(Timer::number));
    private Instant now;
    private long nextTimerNumber;
    private boolean running;

    private VirtualTimeExecutor(Instant now) {
        this.now = now;
    }

    /**
     * Returns an executor without tasks.
     *
     * @param now the initial time
     * @return the executor
     */
    public static VirtualTimeExecutor at(Instant now) {
        return new VirtualTimeExecutor(now);
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        readyTasks.add(task);
        runReady();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
        timers.add(new Timer(now.plus(delay), nextTimerNumber++, task));
    }

    /**
     * Advances the clock and runs every task that falls due, in order of time.
     *
     * @param duration how far to advance
     */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!timers.isEmpty() && !timers.peek().due().isAfter(end)) {
            Timer timer = timers.remove();
            now = timer.due();
            execute(timer.task());
        }
        now = end;
    }

    private void runReady() {
        if (running) {
            return;
        }
        running = true;
        try {
            for (Runnable task = readyTasks.poll(); task != null; task = readyTasks.poll()) {
                task.run();
            }
        } finally {
            running = false;
        }
    }
}
