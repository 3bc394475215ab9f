package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;

/**
 * Steps of one attempt at one time. Each returns the next phase and adds its effects.
 *
 * @param attempt current attempt
 * @param now current time
 * @param effects receives the effects
 */
record AttemptSteps(PromotionPhase.Attempt attempt, Instant now, List<PromotionEffect> effects) {
    /**
     * Maximum wait for the VMs to confirm that they enforce an intent; several times the way through the store and back
     * between regions. A VM that has failed, or is cut off, does not confirm.
     */
    static final Duration FENCE_TIMEOUT = Duration.ofMillis(300);

    /** Asks replicas whether they receive. */
    PromotionPhase inspect(Set<BackendServerName> replicas) {
        send(replicas, new BackendCommand.ReadStatus());
        return new PromotionPhase.Inspecting(attempt, replicas);
    }

    PromotionPhase inspected(PromotionPhase.Inspecting inspecting, BackendServerName replica) {
        Set<BackendServerName> pending = without(inspecting.pending(), replica);
        return pending.isEmpty() ? stop() : new PromotionPhase.Inspecting(attempt, pending);
    }

    /** Asks the primary whether it leads, and the replicas for their positions, while the primary serves. */
    PromotionPhase query() {
        Set<BackendServerName> databases = new HashSet<>(attempt.snapshot().replicas());
        attempt.snapshot().primary().ifPresent(databases::add);
        send(databases, new BackendCommand.ReadStatus());
        return new PromotionPhase.Querying(attempt, databases, Map.of(), Set.of());
    }

    /** Handles the answer of a database that was asked for its state. */
    PromotionPhase queried(PromotionPhase.Querying querying, BackendServerName database, CommandResult result) {
        Map<BackendServerName, DatabaseStatus> answers = new HashMap<>(querying.answers());
        if (result instanceof CommandResult.Answered answered) {
            answers.put(database, answered.status());
        }
        Set<BackendServerName> unanswered = new HashSet<>(querying.unanswered());
        if (result instanceof CommandResult.Unanswered) {
            unanswered.add(database);
        }
        PromotionPhase.Querying next =
                new PromotionPhase.Querying(attempt, without(querying.pending(), database), answers, unanswered);
        return next.pending().isEmpty() || isReplaceable(next) ? decideByAnswers(next) : next;
    }

    /**
     * Decides how to replace the primary after all databases have answered or timed out. One that fails for other VMs
     * only is asked again when an answer is lost; if it is dead, the next command can't be sent to it.
     */
    PromotionPhase decideByAnswers(PromotionPhase.Querying querying) {
        Optional<BackendServerName> leader = attempt.snapshot().replicas().stream()
                .filter(replica -> querying.answers().containsKey(replica)
                        && querying.answers().get(replica).primary())
                .findAny();
        if (leader.isPresent()) {
            return anotherLeads(leader.get(), querying.answers().get(leader.get()), Set.of());
        }
        Optional<DatabaseStatus> primary =
                attempt.snapshot().primary().map(name -> querying.answers().get(name));
        if (primary.isEmpty()) {
            boolean repeats = attempt.snapshot().reason().equals(Optional.of(PromotionReason.FAILING_FOR_OTHERS))
                    && querying.unanswered()
                            .containsAll(attempt.snapshot().primary().stream().toList());
            return repeats
                    ? abandon(Set.of(), "the primary did not answer", Optional.empty())
                    : stopWithoutPrimary("the primary does not answer");
        }
        if (!primary.get().primary()) {
            return new AttemptSteps(attempt.withoutPrimary(), now, effects).stop();
        }
        if (attempt.snapshot().isReplacedOnlyByKnownSuccessor() && !isReplaceable(querying)) {
            return abandon(Set.of(), "no replica that stays answers with all acknowledged commits", Optional.empty());
        }
        sendStepDown();
        return new PromotionPhase.SteppingDown(
                attempt.withoutLastPosition(), primary.get().term());
    }

    /**
     * Ends an attempt in which a database other than the supposed primary answers that it leads. It becomes the primary
     * of the next attempt, because it may acknowledge commits.
     */
    PromotionPhase anotherLeads(BackendServerName database, DatabaseStatus status, Set<BackendServerName> stopped) {
        // Holders count terms on from the newest one that they know, which may be ahead of that of the databases.
        long term = Math.max(status.term(), attempt.snapshot().newestTerm() + 1);
        effects.add(new PromotionEffect.AnnouncePrimary(new PrimaryClaim(database, term)));
        return new AttemptSteps(attempt.withoutLastPosition(), now, effects)
                .abandon(stopped, "database " + database + " leads", Optional.empty());
    }

    /** Returns whether the primary leads and a replica can take over. */
    private boolean isReplaceable(PromotionPhase.Querying querying) {
        boolean leads = attempt.snapshot()
                .primary()
                .map(name -> querying.answers().get(name))
                .filter(DatabaseStatus::primary)
                .isPresent();
        return leads
                && querying.answers().entrySet().stream()
                        .anyMatch(answer -> attempt.snapshot().canTakeOver(answer.getKey(), answer.getValue()));
    }

    /**
     * Goes on without the answer of the primary, unless it still gets statements. Then it serves on, and the attempt is
     * repeated.
     */
    private PromotionPhase stopWithoutPrimary(String reason) {
        return attempt.snapshot().primaryServes() ? abandon(Set.of(), reason, Optional.empty()) : stop();
    }

    /**
     * Handles the answer of a primary that was told to step down first. Its last position counts only if it led until
     * then: another database that was promoted meanwhile may have acknowledged further commits. Without an answer it
     * may lead or have stepped down.
     */
    PromotionPhase steppedDown(PromotionPhase.SteppingDown steppingDown, CommandResult result) {
        return switch (result) {
            case CommandResult.Answered answered
            when answered.status().primary() || answered.status().term() != steppingDown.leadingTerm() ->
                abandon(Set.of(), "the primary did not step down or another one was promoted");
            case CommandResult.Answered answered -> {
                LogPosition last = answered.status().received();
                log("primary stepped down", "position=" + PromotionChoice.text(last));
                yield new AttemptSteps(attempt.withLastPosition(last), now, effects).stop();
            }
            case CommandResult.Unanswered _ -> abandon(Set.of(), "the primary did not confirm that it stepped down");
            case CommandResult.Failed _ -> stopWithoutPrimary("the command to step down was not carried out");
        };
    }

    /** Stops the replicas, and a primary that has stepped down, whose log is complete. */
    PromotionPhase stop() {
        Set<BackendServerName> databases = new HashSet<>(attempt.snapshot().replicas());
        attempt.lastPosition().flatMap(_ -> attempt.snapshot().primary()).ifPresent(databases::add);
        send(databases, new BackendCommand.StopReceiving(attempt.term()));
        return new PromotionPhase.Stopping(attempt, databases, databases, Map.of());
    }

    /** Stops databases that have become known since the others were told to stop. */
    PromotionPhase stopNewReplicas(PromotionPhase.Stopping stopping) {
        Set<BackendServerName> added = new HashSet<>(attempt.snapshot().replicas());
        added.removeAll(stopping.asked());
        if (added.isEmpty()) {
            return stopping;
        }
        send(added, new BackendCommand.StopReceiving(attempt.term()));
        Set<BackendServerName> asked = new HashSet<>(stopping.asked());
        asked.addAll(added);
        added.addAll(stopping.pending());
        return new PromotionPhase.Stopping(attempt, asked, added, stopping.stopped());
    }

    /** Chooses a database that holds the last position of the old primary, if one that stays has answered. */
    Optional<PromotionPhase> chooseRemaining(Map<BackendServerName, DatabaseStatus> stopped) {
        return PromotionChoice.ofRemaining(attempt, stopped).map(choice -> choose(choice, stopped));
    }

    /**
     * Goes on with a choice. A primary that has not stepped down before is told to in any case: a replica that restarts
     * from now on receives again, and could otherwise confirm further commits.
     */
    PromotionPhase choose(PromotionChoice choice, Map<BackendServerName, DatabaseStatus> stopped) {
        return switch (choice) {
            case PromotionChoice.Chosen chosen -> {
                log("database chosen", chosen.candidate().toString());
                yield prove(chosen.candidate(), stopped);
            }
            case PromotionChoice.Insufficient insufficient ->
                abandon(stopped.keySet(), insufficient.reason(), Optional.empty());
        };
    }

    private PromotionPhase prove(PromotionCandidate candidate, Map<BackendServerName, DatabaseStatus> stopped) {
        return switch (candidate.proof()) {
            case CommitProof.PrimarySteppedDown _ -> prepareIntent(stopped, candidate);
            case CommitProof.ReplicasStopped _ -> {
                sendStepDown();
                yield prepareIntent(stopped, candidate);
            }
            case CommitProof.ReplicasStoppedUntilStepDown _ -> {
                sendStepDown();
                yield new PromotionPhase.ConfirmingStepDown(attempt, stopped, candidate);
            }
        };
    }

    private void sendStepDown() {
        attempt.snapshot()
                .primary()
                .ifPresent(primary -> send(Set.of(primary), new BackendCommand.StepDown(attempt.term())));
    }

    /**
     * Handles the answer of a primary that was told to step down after a database was chosen, and that need not have
     * answered. If its log goes on beyond the chosen one, a replica that was not counted may have confirmed the rest. A
     * primary that fails for this VM is let go: it had no commit acknowledged, or gave no answer, for some time.
     *
     * @param recorded whether the intent is in the store
     */
    Optional<PromotionPhase> steppedDownLate(
            PromotionCandidate candidate,
            Map<BackendServerName, DatabaseStatus> stopped,
            boolean recorded,
            CommandResult result) {
        Optional<LogPosition> beyond = Optional.of(result)
                .filter(CommandResult.Answered.class::isInstance)
                .map(answer -> ((CommandResult.Answered) answer).status())
                .filter(status -> !status.primary())
                .map(DatabaseStatus::received)
                .filter(last -> last.compareTo(candidate.received()) > 0);
        beyond.ifPresent(last -> log(
                "primary stepped down beyond the chosen log",
                candidate + " lastPosition=" + PromotionChoice.text(last)));
        return beyond.filter(_ -> !attempt.snapshot().reason().equals(Optional.of(PromotionReason.FAILING)))
                .map(last -> {
                    AttemptSteps steps = new AttemptSteps(attempt.withLastPosition(last), now, effects);
                    String reason =
                            "the old primary stepped down at " + PromotionChoice.text(last) + ", beyond the chosen log";
                    return recorded
                            ? steps.withdraw(candidate, stopped.keySet(), reason)
                            : steps.abandon(stopped.keySet(), reason);
                });
    }

    /**
     * Handles the answer of the old primary after a database was chosen. One that has stepped down acknowledges
     * nothing, so replicas that resume late do no harm. Without an answer it may still lead.
     */
    PromotionPhase stepDownConfirmed(PromotionPhase.ConfirmingStepDown confirming, CommandResult result) {
        boolean confirmed = result instanceof CommandResult.Answered answered
                && !answered.status().primary();
        return confirmed
                ? prepareIntent(confirming.stopped(), confirming.candidate())
                : abandon(confirming.stopped().keySet(), "the primary did not confirm that it stepped down");
    }

    private PromotionPhase prepareIntent(Map<BackendServerName, DatabaseStatus> stopped, PromotionCandidate candidate) {
        if (attempt.renewsToken()) {
            effects.add(new PromotionEffect.RenewFencingToken());
            return new PromotionPhase.RenewingToken(attempt, stopped, candidate);
        }
        return recordIntent(stopped, candidate);
    }

    /** Goes on with a recorded intent once the VMs in contact enforce it. */
    PromotionPhase awaitFence(PromotionPhase.AwaitingFence awaiting) {
        Set<VmName> unfenced =
                requiresFence(awaiting.candidate()) ? attempt.snapshot().unfenced() : Set.of();
        if (!unfenced.isEmpty() && now.isBefore(awaiting.recordedAt().plus(FENCE_TIMEOUT))) {
            return awaiting;
        }
        if (!unfenced.isEmpty()) {
            log("promotion not confirmed by all VMs", "unconfirmed=" + unfenced);
        }
        return verify(awaiting.stopped(), awaiting.candidate());
    }

    /** Returns whether a primary that has not stepped down, or an earlier request, could have commits acknowledged. */
    private boolean requiresFence(PromotionCandidate candidate) {
        return !(candidate.proof() instanceof CommitProof.PrimarySteppedDown)
                || attempt.pendingTarget().isPresent();
    }

    private PromotionPhase verify(Map<BackendServerName, DatabaseStatus> stopped, PromotionCandidate candidate) {
        Set<BackendServerName> databases = candidate.proof() instanceof CommitProof.PrimarySteppedDown
                ? Set.of(candidate.database())
                : stopped.keySet();
        send(databases, new BackendCommand.ReadStatus());
        return new PromotionPhase.Verifying(attempt, databases, stopped, candidate, now);
    }

    /** Handles the answer of a replica to the last query. */
    PromotionPhase verified(PromotionPhase.Verifying verifying, BackendServerName replica, CommandResult result) {
        DatabaseStatus before = verifying.stopped().get(replica);
        boolean unchanged = result instanceof CommandResult.Answered answered
                && attempt.isStopped(answered.status())
                && answered.status().received().equals(before.received());
        if (!unchanged) {
            return withdraw(
                    verifying.candidate(),
                    verifying.stopped().keySet(),
                    "database " + replica + " is no longer stopped");
        }
        Set<BackendServerName> pending = without(verifying.pending(), replica);
        return pending.isEmpty()
                ? requestRecorded(verifying.candidate())
                : new PromotionPhase.Verifying(
                        attempt, pending, verifying.stopped(), verifying.candidate(), verifying.startedAt());
    }

    /** Records the intent, unless the evidence that has arrived since the choice contradicts it. */
    PromotionPhase recordIntent(Map<BackendServerName, DatabaseStatus> stopped, PromotionCandidate candidate) {
        Optional<String> contradiction = contradiction(candidate);
        if (contradiction.isPresent()) {
            return abandon(attempt.snapshot().replicas(), contradiction.get());
        }
        addIntent(candidate, PromotionIntent.Progress.OPEN);
        return new PromotionPhase.RecordingIntent(attempt, stopped, candidate);
    }

    /** Requests the promotion after its intent was recorded, unless newer evidence contradicts the choice. */
    private PromotionPhase requestRecorded(PromotionCandidate candidate) {
        return contradiction(candidate)
                .map(reason -> withdraw(candidate, attempt.snapshot().replicas(), reason))
                .orElseGet(() -> request(candidate, Optional.empty()));
    }

    Optional<String> contradiction(PromotionCandidate candidate) {
        GroupSnapshot snapshot = attempt.snapshot();
        if (snapshot.newestTerm() >= attempt.term()) {
            return Optional.of("another database was promoted in term " + snapshot.newestTerm());
        }
        if (snapshot.synchronousReplicas() > 0
                && snapshot.acknowledged()
                        .filter(position -> position.compareTo(candidate.received()) > 0)
                        .isPresent()) {
            return Optional.of("the chosen log ends at " + PromotionChoice.text(candidate.received())
                    + ", before the acknowledged position "
                    + PromotionChoice.text(snapshot.acknowledged().get()));
        }
        if (snapshot.evacuated().contains(candidate.database())) {
            return Optional.of("the failure domain of " + candidate.database() + " is evacuated");
        }
        Set<BackendServerName> uncounted = candidate.proof().uncounted(snapshot.replicas());
        return uncounted.isEmpty()
                ? Optional.empty()
                : Optional.of("commits may have been confirmed by " + uncounted + ", which became known late");
    }

    /** Returns why a target that was steady when it was chosen should no longer lead. */
    Optional<String> departure(PromotionCandidate candidate) {
        return candidate.steady() && !PromotionChoice.isSteady(attempt.snapshot(), candidate.database())
                ? Optional.of("database " + candidate.database() + " leaves or has restarted")
                : Optional.empty();
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
                now.plus(PromotionState.SETTLING_TIME), Optional.empty(), Resumption.ALL_REPLICAS, Optional.empty());
    }

    PromotionPhase refused(PromotionCandidate candidate) {
        return withdraw(candidate, attempt.snapshot().replicas(), "the promotion request was refused");
    }

    /**
     * Ends an attempt whose intent is recorded and of which no request may take effect. The intent stays open while an
     * earlier request may take effect, because it has taken the place of that request's intent.
     */
    PromotionPhase withdraw(PromotionCandidate candidate, Set<BackendServerName> stopped, String reason) {
        if (attempt.pendingTarget().isEmpty()) {
            addIntent(candidate, PromotionIntent.Progress.REFUSED);
        }
        return abandon(stopped, reason);
    }

    /**
     * Ends the repetition of a request without an answer. The next attempt compares the logs again and takes the place
     * of the request with a greater fencing token. The replicas stay stopped.
     */
    PromotionPhase supersede(PromotionCandidate candidate, String reason) {
        effects.add(new PromotionEffect.Postpone(attempt.id(), reason));
        log("promotion request superseded", candidate + " reason=\"" + reason + "\"");
        return new PromotionPhase.Watching(
                now,
                Optional.of(withoutPrimaryDelay()),
                Resumption.ALL_REPLICAS,
                attempt.lastPosition()
                        .map(last -> new SteppedDownPrimary(attempt.snapshot().primary(), attempt.term(), last)));
    }

    /**
     * Ends an attempt in which the primary may have stepped down. If it has, no entry of a new one is on its way, so
     * the next attempt need not wait for one.
     */
    PromotionPhase abandon(Set<BackendServerName> stopped, String reason) {
        return abandon(stopped, reason, Optional.of(withoutPrimaryDelay()));
    }

    private Instant withoutPrimaryDelay() {
        return now.minus(PromotionState.NO_PRIMARY_TIMEOUT);
    }

    /**
     * Ends an attempt. Replicas known to be stopped are resumed at once, others when their status shows that they are
     * stopped. None is resumed while an earlier request relies on them.
     */
    private PromotionPhase abandon(Set<BackendServerName> stopped, String reason, Optional<Instant> noPrimarySince) {
        effects.add(new PromotionEffect.Postpone(attempt.id(), reason));
        if (attempt.pendingTarget().isEmpty()) {
            send(stopped, new BackendCommand.ResumeReceiving());
        }
        return new PromotionPhase.Watching(
                now.plus(PromotionState.ATTEMPT_RETRY_DELAY),
                attempt.lastPosition().isPresent() ? Optional.of(withoutPrimaryDelay()) : noPrimarySince,
                Resumption.ALL_REPLICAS,
                attempt.lastPosition()
                        .map(last -> new SteppedDownPrimary(attempt.snapshot().primary(), attempt.term(), last)));
    }

    private void addIntent(PromotionCandidate candidate, PromotionIntent.Progress progress) {
        effects.add(new PromotionEffect.RecordIntent(new PromotionIntent(
                candidate.database(),
                attempt.term(),
                progress,
                Optional.of(candidate.received()),
                Optional.of(attempt.id()),
                now)));
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
