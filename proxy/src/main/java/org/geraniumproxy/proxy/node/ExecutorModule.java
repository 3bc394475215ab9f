package org.geraniumproxy.proxy.node;

import dagger.Module;
import dagger.Provides;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import javax.inject.Singleton;

/** Threads of a node: one owner for each kind of control state, and virtual threads for traffic. */
@Module
final class ExecutorModule {
    private ExecutorModule() {}

    @Provides
    @Singleton
    @ControlExecutor
    static ScheduledExecutorService controlExecutor() {
        return singleThread("control");
    }

    @Provides
    @Singleton
    @LimitExecutor
    static ScheduledExecutorService limitExecutor() {
        return singleThread("limit");
    }

    @Provides
    @Singleton
    @PoolExecutor
    static ScheduledExecutorService poolExecutor() {
        return singleThread("pool");
    }

    @Provides
    @Singleton
    @TrafficExecutor
    static ExecutorService trafficExecutor() {
        return Executors.newThreadPerTaskExecutor(
                Thread.ofVirtual().name("traffic-", 0).factory());
    }

    @Provides
    @Singleton
    static NodeExecutors executors(
            @ControlExecutor ScheduledExecutorService control,
            @LimitExecutor ScheduledExecutorService limit,
            @PoolExecutor ScheduledExecutorService pool,
            @TrafficExecutor ExecutorService traffic) {
        return new NodeExecutors(control, limit, pool, traffic);
    }

    private static ScheduledExecutorService singleThread(String name) {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().name(name).daemon().factory());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        return executor;
    }
}
