package org.geraniumproxy.core.configuration;

import java.util.List;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;

/**
 * State machine that applies a configuration: it reads the manifest, writes the content and replaces the manifest by
 * compare-and-swap. If the reply to the compare-and-swap is lost, it reads the manifest until the apply identifier
 * shows the outcome. The compare-and-swap is sent at most once, because a second one on a newer base would overwrite a
 * change that the operator has not seen.
 */
public final class ApplyDecision {
    private ApplyDecision() {}

    /**
     * Starts an apply.
     *
     * @param request the configuration to apply and its base revision
     * @return the initial state and the effect that reads the manifest
     */
    public static Transition<ApplyState, ApplyEffect> start(ApplyRequest request) {
        return transition(new ApplyState.ReadingBase(request), new ApplyEffect.ReadManifest());
    }

    /**
     * Processes an event. Late and duplicate events are allowed.
     *
     * @param state the current state
     * @param event a reply of the store, a lost reply or the deadline
     * @return the next state and the effects to run
     * @throws InvariantViolation if the event is the reply to a compare-and-swap that was not sent
     */
    public static Transition<ApplyState, ApplyEffect> decide(ApplyState state, ApplyEvent event) {
        requireSwapSent(state, event);
        return switch (state) {
            case ApplyState.ReadingBase reading -> decideReadingBase(reading, event);
            case ApplyState.WritingContent writing -> decideWritingContent(writing, event);
            case ApplyState.Swapping swapping -> decideSwapping(swapping, event);
            case ApplyState.ResolvingOutcome resolving -> decideResolvingOutcome(resolving, event);
            case ApplyState.Terminal ended -> Transition.to(ended);
        };
    }

    private static Transition<ApplyState, ApplyEffect> decideReadingBase(
            ApplyState.ReadingBase state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.ManifestRead(StoredManifest current)
            when current.manifest().revision() != request.baseRevision() -> conflict(request, current);
            case ApplyEvent.ManifestRead(StoredManifest current) ->
                transition(
                        new ApplyState.WritingContent(request, current),
                        new ApplyEffect.WriteContent(request.contentDigest()));
            case ApplyEvent.ReplyLost() -> transition(state, new ApplyEffect.Delayed(new ApplyEffect.ReadManifest()));
            case ApplyEvent.DeadlineReached() -> Transition.to(new ApplyState.NotApplied());
            case ApplyEvent.ContentWritten() -> Transition.to(state);
            case ApplyEvent.SwapSucceeded() -> Transition.to(state);
            case ApplyEvent.SwapConflicted ignored -> Transition.to(state);
        };
    }

    private static Transition<ApplyState, ApplyEffect> decideWritingContent(
            ApplyState.WritingContent state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.ContentWritten() ->
                transition(
                        new ApplyState.Swapping(request, state.base()),
                        new ApplyEffect.SwapManifest(state.base().storeRevision(), request.manifest()));
            case ApplyEvent.ReplyLost() ->
                transition(state, new ApplyEffect.Delayed(new ApplyEffect.WriteContent(request.contentDigest())));
            case ApplyEvent.DeadlineReached() -> Transition.to(new ApplyState.NotApplied());
            case ApplyEvent.ManifestRead ignored -> Transition.to(state);
            case ApplyEvent.SwapSucceeded() -> Transition.to(state);
            case ApplyEvent.SwapConflicted ignored -> Transition.to(state);
        };
    }

    private static Transition<ApplyState, ApplyEffect> decideSwapping(ApplyState.Swapping state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.SwapSucceeded() -> Transition.to(new ApplyState.Applied(request.manifest()));
            case ApplyEvent.SwapConflicted(StoredManifest current) -> resolveOutcome(request, state.base(), current);
            case ApplyEvent.ReplyLost() ->
                transition(new ApplyState.ResolvingOutcome(request, state.base()), new ApplyEffect.ReadManifest());
            case ApplyEvent.DeadlineReached() -> outcomeUnknown(request);
            case ApplyEvent.ManifestRead ignored -> Transition.to(state);
            case ApplyEvent.ContentWritten() -> Transition.to(state);
        };
    }

    private static Transition<ApplyState, ApplyEffect> decideResolvingOutcome(
            ApplyState.ResolvingOutcome state, ApplyEvent event) {
        ApplyRequest request = state.request();
        return switch (event) {
            case ApplyEvent.ManifestRead(StoredManifest current) -> resolveOutcome(request, state.base(), current);
            case ApplyEvent.SwapSucceeded() -> Transition.to(new ApplyState.Applied(request.manifest()));
            case ApplyEvent.SwapConflicted(StoredManifest current) -> resolveOutcome(request, state.base(), current);
            case ApplyEvent.ReplyLost() -> transition(state, new ApplyEffect.Delayed(new ApplyEffect.ReadManifest()));
            case ApplyEvent.DeadlineReached() -> outcomeUnknown(request);
            case ApplyEvent.ContentWritten() -> Transition.to(state);
        };
    }

    /** Determines the outcome from a manifest that was read after the compare-and-swap was sent. */
    private static Transition<ApplyState, ApplyEffect> resolveOutcome(
            ApplyRequest request, StoredManifest base, StoredManifest current) {
        if (current.manifest().applyIdentifier().equals(request.applyIdentifier())) {
            return Transition.to(new ApplyState.Applied(request.manifest()));
        }
        if (current.storeRevision() <= base.storeRevision()) {
            // The compare-and-swap may still be in transit, so an unchanged manifest does not prove that it was lost.
            // An older manifest is the late reply to a read that preceded the compare-and-swap.
            return transition(
                    new ApplyState.ResolvingOutcome(request, base),
                    new ApplyEffect.Delayed(new ApplyEffect.ReadManifest()));
        }
        if (current.manifest().revision() <= request.manifest().revision()) {
            return conflict(request, current);
        }
        // A later apply replaced the manifest. Whether it replaced this apply or a conflicting one can't be determined.
        return outcomeUnknown(request);
    }

    private static Transition<ApplyState, ApplyEffect> conflict(ApplyRequest request, StoredManifest current) {
        return Transition.to(new ApplyState.Conflicted(request.baseRevision(), current.manifest()));
    }

    private static Transition<ApplyState, ApplyEffect> outcomeUnknown(ApplyRequest request) {
        return Transition.to(new ApplyState.OutcomeUnknown(request.manifest()));
    }

    private static Transition<ApplyState, ApplyEffect> transition(ApplyState state, ApplyEffect effect) {
        return Transition.to(state, List.of(effect));
    }

    private static void requireSwapSent(ApplyState state, ApplyEvent event) {
        boolean isBeforeSwap = state instanceof ApplyState.ReadingBase || state instanceof ApplyState.WritingContent;
        boolean isSwapReply = event instanceof ApplyEvent.SwapSucceeded || event instanceof ApplyEvent.SwapConflicted;
        InvariantViolation.check(
                !(isBeforeSwap && isSwapReply), "the store replies only to a compare-and-swap that was sent");
    }
}
