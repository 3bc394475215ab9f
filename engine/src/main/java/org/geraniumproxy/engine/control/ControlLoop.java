package org.geraniumproxy.engine.control;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.fleet.FleetEffect;
import org.geraniumproxy.core.fleet.FleetEvent;
import org.geraniumproxy.core.fleet.FleetState;
import org.geraniumproxy.engine.telemetry.DecisionLog;

/** Control thread. It owns the control state, applies one event at a time to it and executes the resulting effects. */
public final class ControlLoop {
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            task -> Thread.ofPlatform().name("control").daemon().unstarted(task));
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
        execute(() -> apply(event));
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
        executor.execute(() -> runSafely(task));
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

    private void apply(FleetEvent event) {
        Transition<FleetState, FleetEffect> transition = state.on(event, clock.instant());
        state = transition.state();
        for (FleetEffect effect : transition.effects()) {
            switch (effect) {
                case FleetEffect.PublishView publish -> effectHandler.publish(publish.view(), publish.ownership());
                case FleetEffect.PublishOwnership publish -> effectHandler.publishOwnership(publish.ownership());
                case FleetEffect.EvaluatePromotions _ -> execute(effectHandler::evaluatePromotions);
                case FleetEffect.SendToPeers send -> effectHandler.sendToPeers(send.message(), send.addresses());
                case FleetEffect.FetchConfiguration fetch -> {
                    log.write("control", "configuration requested", "vm=" + fetch.vm() + " version=" + fetch.version());
                    effectHandler.fetchConfiguration(fetch.vm(), fetch.address());
                }
                case FleetEffect.Log line -> log.write("control", line.change(), line.detail());
            }
        }
    }
}
