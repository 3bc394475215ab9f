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

/** The control thread. It owns the control state and replaces it by the result of each decision. */
public final class ControlLoop {
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            task -> Thread.ofPlatform().name("control").daemon().unstarted(task));
    private final Clock clock;
    private final FleetEffectHandler effectHandler;
    private final DecisionLog log;
    private FleetState state;

    /**
     * Creates the loop.
     *
     * @param initial the first state
     * @param clock a clock that never jumps
     * @param effectHandler carry out the effects
     * @param log receives changes of belief
     */
    public ControlLoop(FleetState initial, Clock clock, FleetEffectHandler effectHandler, DecisionLog log) {
        this.state = initial;
        this.clock = clock;
        this.effectHandler = effectHandler;
        this.log = log;
    }

    /**
     * Applies an event on the control thread; may be called on any thread.
     *
     * @param event the event
     */
    public void submit(FleetEvent event) {
        execute(() -> apply(event));
    }

    /**
     * Returns the executor of the control thread, for other state that it owns.
     *
     * @return the executor
     */
    public ScheduledExecutorService executor() {
        return executor;
    }

    /**
     * Runs a task on the control thread; may be called on any thread.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        executor.execute(() -> runSafely(task));
    }

    /**
     * Runs a task on the control thread after a delay.
     *
     * @param delay the delay
     * @param task the task
     */
    public void schedule(Duration delay, Runnable task) {
        var unused = executor.schedule(() -> runSafely(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Returns the state; called on the control thread.
     *
     * @return the state
     */
    public FleetState state() {
        return state;
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.write("control", "task failed", "error=\"" + e + "\" at=" + e.getStackTrace()[0]);
        }
    }

    private void apply(FleetEvent event) {
        Transition<FleetState, FleetEffect> transition = state.on(event, clock.instant());
        state = transition.state();
        for (FleetEffect effect : transition.effects()) {
            switch (effect) {
                case FleetEffect.PublishView publish -> effectHandler.publish(publish.view(), publish.shares());
                case FleetEffect.PublishShares publish -> effectHandler.publishShares(publish.shares());
                case FleetEffect.SendToPeers send -> effectHandler.sendToPeers(send.message(), send.addresses());
                case FleetEffect.FetchConfiguration fetch -> {
                    log.write("control", "configuration asked for", "vm=" + fetch.vm() + " version=" + fetch.version());
                    effectHandler.fetchConfiguration(fetch.vm(), fetch.address());
                }
                case FleetEffect.Log line -> log.write("control", line.change(), line.detail());
            }
        }
    }
}
