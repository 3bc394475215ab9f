package org.geraniumproxy.proxy.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A timer that runs nothing by itself: a test runs the periodic actions and those that were scheduled once. */
public final class ManualTimer extends ScheduledThreadPoolExecutor {
    private final List<Runnable> periodic = new ArrayList<>();
    private final List<Runnable> once = new ArrayList<>();

    public ManualTimer() {
        super(0);
    }

    /** Runs every action that is due at any time. */
    public void runAll() {
        List<Runnable> due = new ArrayList<>(once);
        once.clear();
        due.addAll(periodic);
        due.forEach(Runnable::run);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
        once.add(action);
        return null;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable action, long initialDelay, long period, TimeUnit unit) {
        periodic.add(action);
        return null;
    }
}
