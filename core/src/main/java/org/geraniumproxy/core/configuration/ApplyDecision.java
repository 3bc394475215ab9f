package org.geraniumproxy.core.configuration;

import java.util.List;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;

/**
 * Decides the steps of an apply: read the manifest, write the content, swap the manifest once, and if the reply to the
 * swap is lost, read the manifest back until its apply identifier tells what happened. The swap is never sent a second
 * time, because a second one on a newer base would undo a change that the operator has not seen.
 */
public final class ApplyDecision {
    private ApplyDecision() {}

    /**
     * Starts an apply.
     *
     * @param request the request
     * @return the first state and the first effect
     */
    public static Transition<ApplyState, ApplyEffect> start(ApplyRequest request) {
        return step(new ApplyState.ReadingBase(request), new ApplyEffect.ReadManifest());
    }

    /**
     * Applies an event. Late and repeated events are allowed.
     *
     * @param state the present state
     * @param event what was learned
     * @return the next state and the effects
     * @throws InvariantViolation if the event answers a compare-and-swap that was not sent
     */
    public static Transition<ApplyState, ApplyEffect> decide(ApplyState state, ApplyEvent event) {
        requireThatSwapWasSent(state, event);
        return switch (state) {
            case ApplyState.ReadingBase reading -> readingBase(reading, event);
            case ApplyState.WritingContent writing -> writingContent(writing, event);
            case ApplyState.Swapping swapping -> swapping(swapping, event);
            case ApplyState.Resolving resolving -> resolving(resolving, event);
            case ApplyState.Ended ended -> Transition.to(ended);
        };
    }

    private static Transition<ApplyState, ApplyEffect> readingBase(ApplyState.ReadingBase state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.ManifestRead(StoredManifest current)
            when current.manifest().revision() != request.baseRevision() -> conflict(request, current);
            case ApplyEvent.ManifestRead(StoredManifest current) ->
                step(
                        new ApplyState.WritingContent(request, current),
                        new ApplyEffect.WriteContent(request.contentDigest()));
            case ApplyEvent.ReplyLost() -> step(state, new ApplyEffect.Later(new ApplyEffect.ReadManifest()));
            case ApplyEvent.DeadlineReached() -> Transition.to(new ApplyState.NotApplied());
            case ApplyEvent.ContentWritten() -> Transition.to(state);
            case ApplyEvent.Swapped() -> Transition.to(state);
            case ApplyEvent.SwapConflicted ignored -> Transition.to(state);
        };
    }

    private static Transition<ApplyState, ApplyEffect> writingContent(
            ApplyState.WritingContent state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.ContentWritten() ->
                step(
                        new ApplyState.Swapping(request, state.base()),
                        new ApplyEffect.SwapManifest(state.base().storeRevision(), request.manifest()));
            case ApplyEvent.ReplyLost() ->
                step(state, new ApplyEffect.Later(new ApplyEffect.WriteContent(request.contentDigest())));
            case ApplyEvent.DeadlineReached() -> Transition.to(new ApplyState.NotApplied());
            case ApplyEvent.ManifestRead ignored -> Transition.to(state);
            case ApplyEvent.Swapped() -> Transition.to(state);
            case ApplyEvent.SwapConflicted ignored -> Transition.to(state);
        };
    }

    private static Transition<ApplyState, ApplyEffect> swapping(ApplyState.Swapping state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.Swapped() -> Transition.to(new ApplyState.Applied(request.manifest()));
            case ApplyEvent.SwapConflicted(StoredManifest current) -> judge(request, state.base(), current);
            case ApplyEvent.ReplyLost() ->
                step(new ApplyState.Resolving(request, state.base()), new ApplyEffect.ReadManifest());
            case ApplyEvent.DeadlineReached() -> unknown(request);
            case ApplyEvent.ManifestRead ignored -> Transition.to(state);
            case ApplyEvent.ContentWritten() -> Transition.to(state);
        };
    }

    private static Transition<ApplyState, ApplyEffect> resolving(ApplyState.Resolving state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.ManifestRead(StoredManifest current) -> judge(request, state.base(), current);
            case ApplyEvent.Swapped() -> Transition.to(new ApplyState.Applied(request.manifest()));
            case ApplyEvent.SwapConflicted(StoredManifest current) -> judge(request, state.base(), current);
            case ApplyEvent.ReplyLost() -> step(state, new ApplyEffect.Later(new ApplyEffect.ReadManifest()));
            case ApplyEvent.DeadlineReached() -> unknown(request);
            case ApplyEvent.ContentWritten() -> Transition.to(state);
        };
    }

    /** Judges a manifest that was read after the swap had been sent. */
    private static Transition<ApplyState, ApplyEffect> judge(
            ApplyRequest request, StoredManifest base, StoredManifest current) {
        if (current.manifest().applyIdentifier().equals(request.applyIdentifier())) {
            return Transition.to(new ApplyState.Applied(request.manifest()));
        }
        if (current.storeRevision() <= base.storeRevision()) {
            // The swap may still be on its way, so that an unchanged manifest does not prove that it was lost. An older
            // one is the late reply to a read from before the swap.
            return step(new ApplyState.Resolving(request, base), new ApplyEffect.Later(new ApplyEffect.ReadManifest()));
        }
        if (current.manifest().revision() <= request.manifest().revision()) {
            return conflict(request, current);
        }
        // Another apply may have replaced this one or the one that this one lost against.
        return unknown(request);
    }

    private static Transition<ApplyState, ApplyEffect> conflict(ApplyRequest request, StoredManifest current) {
        return Transition.to(new ApplyState.Conflicted(request.baseRevision(), current.manifest()));
    }

    private static Transition<ApplyState, ApplyEffect> unknown(ApplyRequest request) {
        return Transition.to(new ApplyState.OutcomeUnknown(request.manifest()));
    }

    private static Transition<ApplyState, ApplyEffect> step(ApplyState state, ApplyEffect effect) {
        return Transition.to(state, List.of(effect));
    }

    private static void requireThatSwapWasSent(ApplyState state, ApplyEvent event) {
        boolean isBeforeSwap = state instanceof ApplyState.ReadingBase || state instanceof ApplyState.WritingContent;
        boolean answersSwap = event instanceof ApplyEvent.Swapped || event instanceof ApplyEvent.SwapConflicted;
        InvariantViolation.check(
                !(isBeforeSwap && answersSwap), "the store answers only a compare-and-swap that was sent");
    }
}
