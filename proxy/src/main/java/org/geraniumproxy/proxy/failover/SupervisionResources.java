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
 * Clients, clock and executors shared by the supervision of all groups.
 *
 * @param backends client of the databases
 * @param store the platform's store
 * @param clock clock of this VM; the client of the databases must use the same one for the timestamps of reports
 * @param control single-threaded executor that owns the state
 * @param timers starts delayed tasks, which only pass work on to the control executor
 * @param policy when a database that does not answer counts as failed
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
