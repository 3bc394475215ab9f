package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Steps of one attempt at one time. Each returns the next phase and adds its effects.
 *
 * @param attempt current attempt
 * @param now current time
 * @param effects receives the effects
 */
record AttemptSteps(PromotionPhase.Attempt attempt, Instant now, List<PromotionEffect> effects) {
    /** Asks replicas whether they receive. */
    PromotionPhase inspect(Set<BackendServerName> replicas) {
        send(replicas, new BackendCommand.ReadStatus());
        return new PromotionPhase.Inspecting(attempt, replicas);
    }

    PromotionPhase inspected(PromotionPhase.Inspecting inspecting, BackendServerName replica) {
        Set<BackendServerName> pending = without(inspecting.pending(), replica);
        return pending.isEmpty() ? stop() : new PromotionPhase.Inspecting(attempt, pending);
    }

    PromotionPhase stop() {
        Set<BackendServerName> replicas = attempt.snapshot().replicas();
        send(replicas, new BackendCommand.StopReceiving(attempt.term()));
        return new PromotionPhase.Stopping(attempt, replicas, Map.of());
    }

    /**
     * Goes on with a choice. The old primary is told to step down in any case: a replica that restarts from now on
     * receives again, and could otherwise confirm further commits.
     */
    PromotionPhase choose(PromotionChoice choice, Map<BackendServerName, DatabaseStatus> stopped) {
        return switch (choice) {
            case PromotionChoice.Chosen chosen -> {
                log("database chosen", chosen.candidate() + " stepDown=" + chosen.stepDown());
                attempt.snapshot()
                        .primary()
                        .ifPresent(primary -> send(Set.of(primary), new BackendCommand.StepDown(attempt.term())));
                yield chosen.stepDown() == StepDownRequirement.NONE
                        ? verify(stopped, chosen.candidate())
                        : new PromotionPhase.SteppingDown(attempt, stopped, chosen.candidate(), chosen.stepDown());
            }
            case PromotionChoice.Insufficient insufficient ->
                abandon(stopped.keySet(), insufficient.reason(), Optional.empty());
        };
    }

    /**
     * Handles the answer of the old primary. One that has stepped down acknowledges nothing, so replicas that resume
     * late do no harm. Without an answer it may still lead.
     */
    PromotionPhase steppedDown(PromotionPhase.SteppingDown steppingDown, CommandResult result) {
        return steppingDown.requirement().isMetBy(result)
                ? verify(steppingDown.stopped(), steppingDown.candidate())
                : abandon(steppingDown.stopped().keySet(), "the primary did not confirm that it stepped down");
    }

    private PromotionPhase verify(Map<BackendServerName, DatabaseStatus> stopped, PromotionCandidate candidate) {
        send(stopped.keySet(), new BackendCommand.ReadStatus());
        return new PromotionPhase.Verifying(attempt, stopped.keySet(), stopped, candidate);
    }

    /**
     * Handles the answer of a replica to the last query.
     *
     * @param mayBeOvertaken whether an earlier request of this holder may still take effect
     */
    PromotionPhase verified(
            PromotionPhase.Verifying verifying,
            BackendServerName replica,
            CommandResult result,
            boolean mayBeOvertaken) {
        DatabaseStatus before = verifying.stopped().get(replica);
        boolean unchanged = result instanceof CommandResult.Answered answered
                && attempt.isStopped(answered.status())
                && answered.status().received().equals(before.received());
        if (!unchanged) {
            return abandon(verifying.stopped().keySet(), "database " + replica + " is no longer stopped");
        }
        Set<BackendServerName> pending = without(verifying.pending(), replica);
        if (!pending.isEmpty()) {
            return new PromotionPhase.Verifying(attempt, pending, verifying.stopped(), verifying.candidate());
        }
        if (mayBeOvertaken) {
            effects.add(new PromotionEffect.RenewFencingToken());
            return new PromotionPhase.RenewingToken(attempt, verifying.candidate());
        }
        return recordIntent(verifying.candidate());
    }

    PromotionPhase recordIntent(PromotionCandidate candidate) {
        addIntent(candidate, PromotionIntent.Progress.OPEN);
        return new PromotionPhase.RecordingIntent(attempt, candidate);
    }

    PromotionPhase request(PromotionCandidate candidate, Optional<Instant> unansweredAt) {
        effects.add(new PromotionEffect.RequestPromotion(
                candidate.database(),
                attempt.id(),
                Duration.between(attempt.startedAt(), now),
                unansweredAt.isPresent()));
        return new PromotionPhase.Requesting(attempt, candidate, Optional.empty(), unansweredAt);
    }

    PromotionPhase accepted(PromotionCandidate candidate) {
        Duration duration = Duration.between(attempt.startedAt(), now);
        log("promotion accepted", candidate + " took=" + duration.toMillis() + "ms");
        effects.add(new PromotionEffect.AnnouncePrimary(new PrimaryClaim(candidate.database(), attempt.term())));
        addIntent(candidate, PromotionIntent.Progress.TAKEN);
        return new PromotionPhase.Watching(
                now.plus(PromotionState.SETTLING_TIME), Optional.empty(), Resumption.ALL_REPLICAS);
    }

    PromotionPhase refused(PromotionCandidate candidate) {
        addIntent(candidate, PromotionIntent.Progress.REFUSED);
        return abandon(attempt.snapshot().replicas(), "the promotion request was refused");
    }

    /**
     * Ends an attempt after a database was chosen. If the primary has stepped down, no entry of a new one is on its
     * way, so the next attempt need not wait for one.
     */
    PromotionPhase abandon(Set<BackendServerName> stopped, String reason) {
        return abandon(stopped, reason, Optional.of(now.minus(PromotionState.NO_PRIMARY_TIMEOUT)));
    }

    /**
     * Ends an attempt. Replicas known to be stopped are resumed at once, others when their status shows that they are
     * stopped. None is resumed while an earlier request relies on them.
     */
    private PromotionPhase abandon(Set<BackendServerName> stopped, String reason, Optional<Instant> noPrimarySince) {
        log("replacement postponed", "reason=\"" + reason + "\"");
        if (attempt.pendingTarget().isEmpty()) {
            send(stopped, new BackendCommand.ResumeReceiving());
        }
        return new PromotionPhase.Watching(
                now.plus(PromotionState.ATTEMPT_RETRY_DELAY), noPrimarySince, Resumption.ALL_REPLICAS);
    }

    private void addIntent(PromotionCandidate candidate, PromotionIntent.Progress progress) {
        effects.add(new PromotionEffect.RecordIntent(
                new PromotionIntent(candidate.database(), attempt.term(), progress, Optional.of(attempt.id()), now)));
    }

    private void send(Set<BackendServerName> databases, BackendCommand command) {
        databases.forEach(
                database -> effects.add(new PromotionEffect.SendCommand(database, command, Optional.of(attempt.id()))));
    }

    private void log(String decision, String detail) {
        effects.add(new PromotionEffect.Log(decision, "attempt=" + attempt.id() + " " + detail));
    }

    private static Set<BackendServerName> without(Set<BackendServerName> pending, BackendServerName database) {
        Set<BackendServerName> remaining = new HashSet<>(pending);
        remaining.remove(database);
        return remaining;
    }
}
