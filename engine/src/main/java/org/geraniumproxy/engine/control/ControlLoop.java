package org.geraniumproxy.engine.control;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.fleet.FleetEffect;
import org.geraniumproxy.core.fleet.FleetEvent;
import org.geraniumproxy.core.fleet.FleetState;
import org.geraniumproxy.engine.telemetry.DecisionLog;

/**
 * Control thread. It owns the control state, applies the events that have arrived as one batch, and executes the
 * resulting effects. Tasks keep their place among the events: a task runs after the events that were submitted before
 * it, and before those submitted later.
 */
public final class ControlLoop {
    private sealed interface Work {
        record Event(FleetEvent event) implements Work {}

        record Task(Runnable task) implements Work {}
    }

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            task -> Thread.ofPlatform().name("control").daemon().unstarted(task));
    private final Queue<Work> queue = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private final Clock clock;
    private final FleetEffectHandler effectHandler;
    private final DecisionLog log;
    private FleetState state;

    /**
     * Creates the control thread.
     *
     * @param initial initial state
     * @param clock monotonic clock
     * @param effectHandler executes the effects
     * @param log receives state changes and failures of tasks
     */
    public ControlLoop(FleetState initial, Clock clock, FleetEffectHandler effectHandler, DecisionLog log) {
        this.state = initial;
        this.clock = clock;
        this.effectHandler = effectHandler;
        this.log = log;
    }

    /**
     * Applies an event on the control thread. May be called on any thread.
     *
     * @param event event to apply
     */
    public void submit(FleetEvent event) {
        enqueue(new Work.Event(event));
    }

    /**
     * Returns the executor of the control thread, for other components that keep their state on this thread.
     *
     * @return the executor; exceptions of its tasks are not logged
     */
    public ScheduledExecutorService executor() {
        return executor;
    }

    /**
     * Runs a task on the control thread. May be called on any thread.
     *
     * @param task task to run; exceptions are logged
     */
    public void execute(Runnable task) {
        enqueue(new Work.Task(task));
    }

    private void enqueue(Work work) {
        queue.add(work);
        if (scheduled.compareAndSet(false, true)) {
            executor.execute(this::drain);
        }
    }

    /** Works off what is queued now. What arrives meanwhile waits for the next turn, after timers that are due. */
    private void drain() {
        scheduled.set(false);
        int count = queue.size();
        List<FleetEvent> batch = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            switch (queue.remove()) {
                case Work.Event work -> batch.add(work.event());
                case Work.Task work -> {
                    apply(batch);
                    runSafely(work.task());
                }
            }
        }
        apply(batch);
    }

    /** Applies a batch and clears it. */
    private void apply(List<FleetEvent> batch) {
        if (batch.isEmpty()) {
            return;
        }
        List<FleetEvent> events = List.copyOf(batch);
        batch.clear();
        runSafely(() -> applyNow(events));
    }

    /**
     * Runs a task on the control thread after a delay. May be called on any thread.
     *
     * @param delay minimum delay
     * @param task task to run; exceptions are logged
     */
    public void schedule(Duration delay, Runnable task) {
        var unused = executor.schedule(() -> runSafely(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Returns the current state. Must be called on the control thread.
     *
     * @return the state after the last event
     */
    public FleetState state() {
        return state;
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            log.write("control", "task failed", "error=\"" + e + "\" at=" + e.getStackTrace()[0]);
        } catch (Error e) {
            reportFatal(e);
        }
    }

    /**
     * Reports an error after which the process must not continue to the handler of uncaught exceptions. An executor or
     * a future would keep it to itself.
     *
     * @param error error that a component on the control thread cannot handle
     */
    public static void reportFatal(Throwable error) {
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
    }

    private void applyNow(List<FleetEvent> events) {
        Transition<FleetState, FleetEffect> transition = state.on(events, clock.instant());
        state = transition.state();
        for (FleetEffect effect : transition.effects()) {
            switch (effect) {
                case FleetEffect.PublishView publish -> effectHandler.publish(publish.view(), publish.ownership());
                case FleetEffect.PublishOwnership publish -> effectHandler.publishOwnership(publish.ownership());
                case FleetEffect.EvaluatePromotions _ -> execute(effectHandler::evaluatePromotions);
                case FleetEffect.SendToPeers send -> effectHandler.sendToPeers(send.message(), send.addresses());
                case FleetEffect.FetchConfiguration fetch -> {
                    log.write("control", "configuration requested", "vm=" + fetch.vm() + " version=" + fetch.version());
                    effectHandler.fetchConfiguration(fetch.vm(), fetch.address(), fetch.timeout());
                }
                case FleetEffect.Log line -> log.write("control", line.change(), line.detail());
            }
        }
    }
}
