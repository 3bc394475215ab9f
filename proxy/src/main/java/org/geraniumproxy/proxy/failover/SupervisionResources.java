package org.geraniumproxy.proxy.failover;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.failover.DetectionPolicy;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.store.PlatformStore;

/**
 * What the supervision of groups works with.
 *
 * @param backends calls to databases
 * @param store the platform's store
 * @param clock this VM's clock, the one by which the client of the databases stamps reports
 * @param control single-threaded executor that owns the state
 * @param timers starts delayed tasks; they only hand work to the control executor
 * @param policy how long a database may be silent
 */
public record SupervisionResources(
        BackendClient backends,
        PlatformStore store,
        Clock clock,
        Executor control,
        ScheduledExecutorService timers,
        DetectionPolicy policy) {
    ScheduledFuture<?> after(Duration delay, Runnable task) {
        return timers.schedule(() -> control.execute(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    ScheduledFuture<?> every(Duration interval, Runnable task) {
        return timers.scheduleWithFixedDelay(
                () -> control.execute(task), interval.toNanos(), interval.toNanos(), TimeUnit.NANOSECONDS);
    }
}
