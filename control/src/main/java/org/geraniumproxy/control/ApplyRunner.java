package org.geraniumproxy.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.ApplyDecision;
import org.geraniumproxy.core.configuration.ApplyEffect;
import org.geraniumproxy.core.configuration.ApplyEvent;
import org.geraniumproxy.core.configuration.ApplyRequest;
import org.geraniumproxy.core.configuration.ApplyState;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;

/** Runs one apply against the store. Its state belongs to the event loop. */
final class ApplyRunner {
    /** Time for the whole apply: five calls that each run into the default timeout of 2 s. */
    static final Duration DEADLINE = Duration.ofSeconds(10);

    /** Pause before the manifest is read again, so that a store in trouble is not loaded further. */
    static final Duration PAUSE = Duration.ofMillis(200);

    private final ConfigurationStore store;
    private final EventLoop eventLoop;
    private final String toml;
    private final CompletableFuture<Result> ended = new CompletableFuture<>();
    private ApplyState state;
    private int swapsSent;
    private Optional<String> lastFailure = Optional.empty();

    private ApplyRunner(ConfigurationStore store, EventLoop eventLoop, ApplyRequest request, String toml) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.toml = toml;
        this.state = new ApplyState.ReadingBase(request);
    }

    /**
     * Starts an apply.
     *
     * @param store the store
     * @param eventLoop owns the state of the apply
     * @param request the request
     * @param toml the content
     * @return how the apply ended
     */
    static CompletableFuture<Result> run(
            ConfigurationStore store, EventLoop eventLoop, ApplyRequest request, String toml) {
        ApplyRunner runner = new ApplyRunner(store, eventLoop, request, toml);
        eventLoop.schedule(DEADLINE, () -> runner.apply(new ApplyEvent.DeadlineReached()));
        eventLoop.execute(() -> runner.accept(ApplyDecision.start(request)));
        return runner.ended;
    }

    private void apply(ApplyEvent event) {
        if (ended.isDone()) {
            return;
        }
        try {
            accept(ApplyDecision.decide(state, event));
        } catch (InvariantViolation e) {
            ended.completeExceptionally(e);
        }
    }

    private void accept(Transition<ApplyState, ApplyEffect> transition) {
        state = transition.state();
        if (state instanceof ApplyState.Ended end) {
            ended.complete(new Result(end, lastFailure));
        }
        transition.effects().forEach(this::perform);
    }

    private void perform(ApplyEffect effect) {
        switch (effect) {
            case ApplyEffect.ReadManifest() -> await(store.readManifest().thenApply(ApplyEvent.ManifestRead::new));
            case ApplyEffect.Later(ApplyEffect later) -> eventLoop.schedule(PAUSE, () -> performUnlessEnded(later));
            case ApplyEffect.WriteContent(String digest) -> await(store.writeContent(digest, toml));
            case ApplyEffect.SwapManifest swap -> {
                swapsSent++;
                InvariantViolation.check(swapsSent == 1, "an apply sends its compare-and-swap once");
                await(store.swapManifest(swap.expectedStoreRevision(), swap.manifest()));
            }
        }
    }

    private void performUnlessEnded(ApplyEffect effect) {
        if (!ended.isDone()) {
            perform(effect);
        }
    }

    private void await(CompletableFuture<? extends ApplyEvent> reply) {
        CompletableFuture<Void> unused = reply.handle((event, failure) -> {
            eventLoop.execute(() -> {
                if (failure == null) {
                    apply(event);
                } else {
                    lastFailure = Optional.of(Failures.describe(failure));
                    apply(new ApplyEvent.ReplyLost());
                }
            });
            return null;
        });
    }

    /**
     * How an apply ended.
     *
     * @param end the last state
     * @param lastFailure the last failure of a call to the store, if any
     */
    record Result(ApplyState.Ended end, Optional<String> lastFailure) {}
}
