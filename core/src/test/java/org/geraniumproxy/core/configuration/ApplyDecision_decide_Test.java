package org.geraniumproxy.core.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.junit.jupiter.api.Test;

/** Guards against applying a change twice, overwriting an unseen change, and a wrong report after a lost reply. */
class ApplyDecision_decide_Test {
    private static final int SEEDS = 400;
    private static final ApplyRequest REQUEST = new ApplyRequest("mine", 4, KeyDigest.sha256("content"));
    private static final StoredManifest BASE = stored(10, 4, "earlier");

    @Test
    void should_report_the_actual_result_in_all_seeded_runs() {
        // when
        Map<String, Integer> endStates = new HashMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            ApplySimulation.Result result = ApplySimulation.run(seed, ApplyDecision::decide);
            assertThat("seed " + seed, result.violations(), empty());
            result.endStateCounts().forEach((end, count) -> endStates.merge(end, count, Integer::sum));
        }

        // then
        for (String end : List.of("Applied", "Conflicted", "NotApplied", "OutcomeUnknown")) {
            assertThat(end + " occurs in the runs " + endStates, endStates.getOrDefault(end, 0), greaterThan(0));
        }
    }

    /** Checks that the simulation detects each variant of the decision that lacks a safeguard. */
    @Test
    void should_detect_each_removed_safeguard_with_the_same_seeds() {
        assertThat(
                "repeats the apply after a lost reply", countFailedRuns(new ReappliesAfterLostReply()), greaterThan(0));
        assertThat(
                "treats an unchanged manifest as not applied",
                countFailedRuns(ApplyDecision_decide_Test::treatUnchangedAsNotApplied),
                greaterThan(0));
        assertThat(
                "ignores the apply identifier",
                countFailedRuns(ApplyDecision_decide_Test::ignoreApplyIdentifier),
                greaterThan(0));
    }

    @Test
    void should_recognize_its_own_apply_after_a_lost_reply() {
        // given
        ApplyState lost = ApplyDecision.decide(new ApplyState.Swapping(REQUEST, BASE), new ApplyEvent.ReplyLost())
                .state();

        // when
        ApplyState state = ApplyDecision.decide(lost, new ApplyEvent.ManifestRead(stored(11, 5, "mine")))
                .state();

        // then
        assertThat(state, equalTo(new ApplyState.Applied(REQUEST.manifest())));
    }

    @Test
    void should_keep_reading_while_the_manifest_is_not_newer_than_the_base() {
        for (StoredManifest notNewer : List.of(BASE, stored(9, 3, "before"))) {
            // when
            Transition<ApplyState, ApplyEffect> transition = ApplyDecision.decide(
                    new ApplyState.ResolvingOutcome(REQUEST, BASE), new ApplyEvent.ManifestRead(notNewer));

            // then
            assertThat(transition.state(), equalTo(new ApplyState.ResolvingOutcome(REQUEST, BASE)));
            assertThat(transition.effects(), equalTo(List.of(new ApplyEffect.Delayed(new ApplyEffect.ReadManifest()))));
        }
    }

    @Test
    void should_report_an_unknown_outcome_when_a_later_revision_replaced_its_own() {
        // when
        ApplyState state = ApplyDecision.decide(
                        new ApplyState.ResolvingOutcome(REQUEST, BASE),
                        new ApplyEvent.ManifestRead(stored(12, 6, "other")))
                .state();

        // then
        assertThat(state, instanceOf(ApplyState.OutcomeUnknown.class));
    }

    @Test
    void should_reject_an_outdated_base_revision() {
        // when
        Transition<ApplyState, ApplyEffect> transition = ApplyDecision.decide(
                new ApplyState.ReadingBase(REQUEST), new ApplyEvent.ManifestRead(stored(11, 5, "other")));

        // then
        assertThat(
                transition.state(),
                equalTo(new ApplyState.Conflicted(4, stored(11, 5, "other").manifest())));
        assertThat(transition.effects(), empty());
    }

    @Test
    void should_reject_a_reply_to_a_swap_that_was_not_sent() {
        assertThrows(
                InvariantViolation.class,
                () -> ApplyDecision.decide(new ApplyState.ReadingBase(REQUEST), new ApplyEvent.SwapSucceeded()));
    }

    private static int countFailedRuns(ApplySimulation.Decision decision) {
        int failed = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            failed += ApplySimulation.run(seed, decision).violations().isEmpty() ? 0 : 1;
        }
        return failed;
    }

    private static Transition<ApplyState, ApplyEffect> treatUnchangedAsNotApplied(ApplyState state, ApplyEvent event) {
        if (state instanceof ApplyState.ResolvingOutcome(ApplyRequest ignored, StoredManifest base)
                && event instanceof ApplyEvent.ManifestRead(StoredManifest current)
                && current.equals(base)) {
            return Transition.to(new ApplyState.NotApplied());
        }
        return ApplyDecision.decide(state, event);
    }

    private static Transition<ApplyState, ApplyEffect> ignoreApplyIdentifier(ApplyState state, ApplyEvent event) {
        if (state instanceof ApplyState.ResolvingOutcome(ApplyRequest request, StoredManifest base)
                && event instanceof ApplyEvent.ManifestRead(StoredManifest current)
                && current.storeRevision() > base.storeRevision()) {
            return Transition.to(new ApplyState.Conflicted(request.baseRevision(), current.manifest()));
        }
        return ApplyDecision.decide(state, event);
    }

    private static StoredManifest stored(long storeRevision, long revision, String identifier) {
        return new StoredManifest(storeRevision, new Manifest(revision, identifier, KeyDigest.sha256(identifier)));
    }

    /** Restarts the apply on the latest revision when the reply to the compare-and-swap is lost. */
    private static final class ReappliesAfterLostReply implements ApplySimulation.Decision {
        private final Set<String> sent = new HashSet<>();

        @Override
        public Transition<ApplyState, ApplyEffect> decide(ApplyState state, ApplyEvent event) {
            if (state instanceof ApplyState.Swapping(ApplyRequest request, StoredManifest ignored)
                    && event instanceof ApplyEvent.ReplyLost) {
                sent.add(request.applyIdentifier());
                return ApplyDecision.start(request);
            }
            if (state instanceof ApplyState.ReadingBase(ApplyRequest request)
                    && event instanceof ApplyEvent.ManifestRead(StoredManifest current)
                    && sent.contains(request.applyIdentifier())) {
                ApplyRequest rebased = new ApplyRequest(
                        request.applyIdentifier(), current.manifest().revision(), request.contentDigest());
                return ApplyDecision.decide(new ApplyState.ReadingBase(rebased), event);
            }
            return ApplyDecision.decide(state, event);
        }
    }
}
