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

/** Runs one apply against the store. Its state is confined to the event loop. */
final class ApplyRunner {
    /** Time limit of the whole apply: five calls that reach the default timeout of 2 s. */
    static final Duration DEADLINE = Duration.ofSeconds(10);

    /** Delay before a call is repeated, which limits the load on a failing store. */
    static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final ConfigurationStore store;
    private final EventLoop eventLoop;
    private final String toml;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
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
     * @param store holds manifest and content
     * @param eventLoop runs the steps and owns their state
     * @param request the apply identifier, the base revision and the digest of the content
     * @param toml content of the configuration file
     * @return the result; the future fails only if an invariant is violated
     */
    static CompletableFuture<Result> run(
            ConfigurationStore store, EventLoop eventLoop, ApplyRequest request, String toml) {
        ApplyRunner runner = new ApplyRunner(store, eventLoop, request, toml);
        eventLoop.schedule(DEADLINE, () -> runner.handleEvent(new ApplyEvent.DeadlineReached()));
        eventLoop.execute(() -> runner.applyTransition(ApplyDecision.start(request)));
        return runner.result;
    }

    private void handleEvent(ApplyEvent event) {
        if (result.isDone()) {
            return;
        }
        try {
            applyTransition(ApplyDecision.decide(state, event));
        } catch (InvariantViolation e) {
            result.completeExceptionally(e);
        }
    }

    private void applyTransition(Transition<ApplyState, ApplyEffect> transition) {
        state = transition.state();
        if (state instanceof ApplyState.Terminal end) {
            result.complete(new Result(end, lastFailure));
        }
        transition.effects().forEach(this::perform);
    }

    private void perform(ApplyEffect effect) {
        switch (effect) {
            case ApplyEffect.ReadManifest() ->
                handleReply(store.readManifest().thenApply(ApplyEvent.ManifestRead::new));
            case ApplyEffect.Delayed(ApplyEffect later) ->
                eventLoop.schedule(RETRY_DELAY, () -> performUnlessDone(later));
            case ApplyEffect.WriteContent(String digest) -> handleReply(store.writeContent(digest, toml));
            case ApplyEffect.SwapManifest swap -> {
                swapsSent++;
                InvariantViolation.check(swapsSent == 1, "an apply sends its compare-and-swap once");
                handleReply(store.swapManifest(swap.expectedStoreRevision(), swap.manifest()));
            }
        }
    }

    private void performUnlessDone(ApplyEffect effect) {
        if (!result.isDone()) {
            perform(effect);
        }
    }

    private void handleReply(CompletableFuture<? extends ApplyEvent> reply) {
        CompletableFuture<Void> unused = reply.handle((event, failure) -> {
            eventLoop.execute(() -> {
                if (failure == null) {
                    handleEvent(event);
                } else {
                    lastFailure = Optional.of(CallFailures.describe(failure));
                    handleEvent(new ApplyEvent.ReplyLost());
                }
            });
            return null;
        });
    }

    /**
     * Result of an apply.
     *
     * @param state the final state
     * @param lastFailure the last failed call to the store, empty if none failed
     */
    record Result(ApplyState.Terminal state, Optional<String> lastFailure) {}
}
