package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.promotion.PromotionPhase.Attempt;

/**
 * Supervision of a group by the lease holder. An attempt tells a primary that answers to step down, stops the replicas,
 * chooses a log that holds every acknowledged commit, verifies that the databases on which the proof relies are still
 * stopped, records the intent in the store and sends the promotion request until it is answered. An intent of an
 * earlier holder is no evidence for its target: it may have reached the store late, or the replicas may have received
 * since, so its target goes through the same steps. The attempt resumes the replicas only if no request was sent: a
 * request may take effect some hundred milliseconds after its answer, or without one, and the promotion itself resumes
 * the replicas. Once a primary serves again, replicas that are still stopped are resumed.
 *
 * @param holder process that holds the lease
 * @param attempts number of attempts begun so far
 * @param earlierAttempts number of attempts begun before this VM last took the lease; whether their requests were sent
 *     is no longer known
 * @param phase current phase
 * @param lateRequestUntil time until which an unanswered request, of this or an earlier holder, may still take effect
 * @param unsettledUntil as lateRequestUntil, for the requests since the last accepted one; a copy of an accepted
 *     request changes nothing while its target leads
 * @param commands commands that databases may still carry out
 * @param promoted log with which this process last requested a promotion
 */
public record PromotionState(
        String holder,
        long attempts,
        long earlierAttempts,
        PromotionPhase phase,
        Instant lateRequestUntil,
        Instant unsettledUntil,
        OutstandingCommands commands,
        Optional<PromotedLog> promoted) {
    /**
     * Time limit of a command, after which it counts as unanswered. Covers opening a connection and several round trips
     * between regions.
     */
    public static final Duration COMMAND_TIMEOUT = Duration.ofMillis(500);

    /** Delay after an abandoned attempt. It lets the resume commands of that attempt be answered or time out. */
    static final Duration ATTEMPT_RETRY_DELAY = COMMAND_TIMEOUT;

    /** Time within which the entry of a new primary reaches the store after its promotion. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(2);

    /** Delay before an unanswered request is retried; the platform accepts few calls per second. */
    static final Duration REQUEST_RETRY_DELAY = Duration.ofMillis(100);

    /** Time within which an unanswered request may still take effect; the platform documents up to 12 s. */
    static final Duration LATE_REQUEST_TIMEOUT = Duration.ofSeconds(13);

    /**
     * Time for which a request without an answer is repeated on the same evidence. After that the logs are compared
     * again and a new intent is recorded, so that every VM knows when the last copy of the request was sent.
     */
    static final Duration REQUEST_PERIOD = Duration.ofSeconds(5);

    /** Time without a primary before a replacement begins, so that the entry of a new primary can arrive. */
    static final Duration NO_PRIMARY_TIMEOUT = Duration.ofMillis(1500);

    /** Time limit of an attempt for stopping and verifying the replicas. */
    static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1200);

    /**
     * Returns the state at the start of the promotion lease.
     *
     * @param holder process that holds the lease
     * @return a state without an attempt, in which any replica may be stopped
     */
    public static PromotionState initial(String holder) {
        return new PromotionState(
                holder,
                0,
                0,
                new PromotionPhase.Watching(Instant.MIN, Optional.empty(), Resumption.ALL_REPLICAS, Optional.empty()),
                Instant.MIN,
                Instant.MIN,
                OutstandingCommands.NONE,
                Optional.empty());
    }

    /**
     * Returns the state after the loss of the promotion lease.
     *
     * @param now current time
     * @return a state without an attempt; attempts are numbered on, and requests and commands of this VM may still take
     *     effect
     */
    public PromotionState released(Instant now) {
        boolean awaitsAnswer = phase instanceof PromotionPhase.Requesting;
        return new PromotionState(
                holder,
                attempts,
                attempts,
                initial(holder).phase(),
                awaitsAnswer ? now.plus(LATE_REQUEST_TIMEOUT) : lateRequestUntil,
                awaitsAnswer ? now.plus(LATE_REQUEST_TIMEOUT) : unsettledUntil,
                commands.released(),
                promoted);
    }

    /**
     * Applies an event.
     *
     * @param event input of the supervision
     * @param now current time
     * @return next state and its effects
     */
    public Transition<PromotionState, PromotionEffect> on(PromotionEvent event, Instant now) {
        PromotionPhase current = switch (event) {
            case PromotionEvent.TimePassed passed -> phase.refreshed(passed.snapshot());
            case PromotionEvent.SnapshotTaken taken -> phase.refreshed(taken.snapshot());
            default -> phase;
        };
        Transition<PromotionState, PromotionEffect> transition =
                with(current, commands.on(event, now)).apply(event, now);
        List<PromotionEffect> effects = new ArrayList<>(transition.effects());
        logEvidenceAfterRequest(current, now, effects);
        return Transition.to(transition.state(), effects);
    }

    /** Logs evidence that contradicts a request which has been sent, when it arrives. */
    private void logEvidenceAfterRequest(PromotionPhase current, Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.Requesting before)
                || !(current instanceof PromotionPhase.Requesting after)) {
            return;
        }
        Optional<String> contradiction =
                new AttemptSteps(after.attempt(), now, effects).contradiction(after.candidate());
        boolean isNew = !contradiction.equals(
                new AttemptSteps(before.attempt(), now, effects).contradiction(before.candidate()));
        contradiction
                .filter(_ -> isNew)
                .ifPresent(reason -> effects.add(new PromotionEffect.Log(
                        "evidence changed after the request",
                        "attempt=" + after.attempt().id() + " age="
                                + Duration.between(after.attempt().startedAt(), now)
                                        .toMillis() + "ms reason=\"" + reason
                                + "\"")));
    }

    private Transition<PromotionState, PromotionEffect> apply(PromotionEvent event, Instant now) {
        List<PromotionEffect> effects = new ArrayList<>();
        PromotionPhase next = switch (event) {
            case PromotionEvent.TimePassed passed -> timePassed(passed.snapshot(), now, effects);
            case PromotionEvent.SnapshotTaken _ -> snapshotTaken(now, effects);
            case PromotionEvent.CommandCompleted completed -> completed(completed, now, effects);
            case PromotionEvent.IntentRecorded recorded -> intentRecorded(recorded.result(), now, effects);
            case PromotionEvent.FencingTokenRenewed renewed -> tokenRenewed(renewed.renewed(), now, effects);
            case PromotionEvent.RequestAccepted _ -> accepted(now, effects);
            case PromotionEvent.RequestRefused _ -> refused(now, effects);
            case PromotionEvent.RequestUnanswered _ -> unanswered(now);
        };
        boolean begun = phase instanceof PromotionPhase.Watching && !(next instanceof PromotionPhase.Watching);
        return Transition.to(
                new PromotionState(
                        holder,
                        begun ? attempts + 1 : attempts,
                        earlierAttempts,
                        next,
                        lateRequestUntilAfter(event, begun, lateRequestUntil, now),
                        event instanceof PromotionEvent.RequestAccepted && phase instanceof PromotionPhase.Requesting
                                ? Instant.MIN
                                : lateRequestUntilAfter(event, begun, unsettledUntil, now),
                        commands.sent(effects, now),
                        promotedAfter(event, next, effects)),
                effects);
    }

    /** Returns the time until which a request may take effect, also that of an open intent found by a new attempt. */
    private Instant lateRequestUntilAfter(PromotionEvent event, boolean begun, Instant known, Instant now) {
        if (event instanceof PromotionEvent.RequestUnanswered) {
            return now.plus(LATE_REQUEST_TIMEOUT);
        }
        if (begun && event instanceof PromotionEvent.TimePassed passed) {
            return passed.snapshot()
                    .intent()
                    .filter(intent -> outlook().isUnsettled(passed.snapshot(), now))
                    .map(PromotionIntent::openUntil)
                    .filter(until -> until.isAfter(known))
                    .orElse(known);
        }
        return known;
    }

    /** Reports a commit that the last promotion lost, once, and returns the log of the last requested promotion. */
    private Optional<PromotedLog> promotedAfter(
            PromotionEvent event, PromotionPhase next, List<PromotionEffect> effects) {
        if (next instanceof PromotionPhase.Requesting requesting) {
            Attempt attempt = requesting.attempt();
            return Optional.of(new PromotedLog(attempt.id(), requesting.candidate(), attempt.term(), false));
        }
        if (promoted.isEmpty() || !(event instanceof PromotionEvent.TimePassed passed)) {
            return promoted;
        }
        Optional<LogPosition> lost = promoted.get().lostPosition(passed.snapshot());
        lost.ifPresent(position -> effects.add(new PromotionEffect.Log(
                "acknowledged commit may be lost",
                "attempt=" + promoted.get().attempt() + " " + promoted.get().candidate() + " acknowledged="
                        + PromotionChoice.text(position))));
        return lost.isPresent() ? promoted.map(PromotedLog::reported) : promoted;
    }

    private PromotionState with(PromotionPhase current, OutstandingCommands next) {
        return new PromotionState(
                holder, attempts, earlierAttempts, current, lateRequestUntil, unsettledUntil, next, promoted);
    }

    private PromotionPhase timePassed(GroupSnapshot snapshot, Instant now, List<PromotionEffect> effects) {
        return switch (phase) {
            case PromotionPhase.Watching watching -> watch(watching, snapshot, now, effects);
            case PromotionPhase.Inspecting inspecting
            when hasTimedOut(inspecting.attempt(), now) -> new AttemptSteps(inspecting.attempt(), now, effects).stop();
            case PromotionPhase.Querying querying
            when hasTimedOut(querying.attempt(), now) ->
                new AttemptSteps(querying.attempt(), now, effects).decideByAnswers(querying);
            case PromotionPhase.Stopping stopping
            when hasTimedOut(stopping.attempt(), now) -> decide(stopping, now, effects);
            case PromotionPhase.Stopping _ -> snapshotTaken(now, effects);
            case PromotionPhase.Verifying verifying
            when Duration.between(verifying.startedAt(), now).compareTo(COMMAND_TIMEOUT) > 0 ->
                new AttemptSteps(verifying.attempt(), now, effects)
                        .withdraw(verifying.candidate(), verifying.stopped().keySet(), "verification took too long");
            case PromotionPhase.AwaitingFence _ -> snapshotTaken(now, effects);
            case PromotionPhase.Requesting requesting
            when requesting.retryAt().filter(at -> !now.isBefore(at)).isPresent() -> repeat(requesting, now, effects);
            default -> phase;
        };
    }

    /** Repeats a request without an answer while the evidence on which it was sent still holds. */
    private static PromotionPhase repeat(
            PromotionPhase.Requesting requesting, Instant now, List<PromotionEffect> effects) {
        Attempt attempt = requesting.attempt();
        AttemptSteps steps = new AttemptSteps(attempt, now, effects);
        boolean expired = Duration.between(attempt.startedAt(), now).compareTo(REQUEST_PERIOD) > 0;
        Optional<String> reason = steps.contradiction(requesting.candidate())
                .or(() -> steps.departure(requesting.candidate()))
                .or(() -> expired ? Optional.of("the request got no answer") : Optional.empty());
        return reason.map(text -> steps.supersede(requesting.candidate(), text))
                .orElseGet(() -> steps.request(requesting.candidate(), requesting.unansweredAt()));
    }

    private PromotionPhase snapshotTaken(Instant now, List<PromotionEffect> effects) {
        return switch (phase) {
            case PromotionPhase.Stopping stopping ->
                new AttemptSteps(stopping.attempt(), now, effects).stopNewReplicas(stopping);
            case PromotionPhase.AwaitingFence awaiting ->
                new AttemptSteps(awaiting.attempt(), now, effects).awaitFence(awaiting);
            default -> phase;
        };
    }

    private PromotionPhase watch(
            PromotionPhase.Watching watching, GroupSnapshot known, Instant now, List<PromotionEffect> effects) {
        boolean unsettled = outlook().isUnsettled(known, now);
        GroupSnapshot snapshot =
                unsettled && known.reason().isEmpty() ? known.withReason(PromotionReason.UNSETTLED) : known;
        boolean tooEarly = outlook().isSettling(snapshot, now)
                || commands.awaitsResumption(now)
                || now.isBefore(watching.notBefore());
        boolean ended = !unsettled && !tooEarly && IntentOutlook.isLeftOpen(snapshot);
        if (ended) {
            effects.add(new PromotionEffect.RecordIntent(
                    snapshot.intent().orElseThrow().refused()));
        }
        if (ended && snapshot.reason().isEmpty()) {
            return new PromotionPhase.Watching(
                    now.plus(ATTEMPT_RETRY_DELAY),
                    watching.noPrimarySince(),
                    watching.resumption(),
                    watching.steppedDown());
        }
        if (snapshot.reason().isEmpty()) {
            boolean mayTakeEffect =
                    snapshot.intent().map(intent -> intent.mayTakeEffect(now)).orElse(false);
            Resumption resumption = tooEarly || mayTakeEffect
                    ? watching.resumption()
                    : resume(watching.resumption(), snapshot, now, effects);
            return new PromotionPhase.Watching(
                    watching.notBefore(), Optional.empty(), resumption, watching.steppedDown());
        }
        boolean noPrimary = snapshot.reason().equals(Optional.of(PromotionReason.NONE_LEADS));
        Instant since = watching.noPrimarySince().orElse(now);
        boolean confirmed = !noPrimary || Duration.between(since, now).compareTo(NO_PRIMARY_TIMEOUT) >= 0;
        if (!confirmed || tooEarly) {
            return new PromotionPhase.Watching(
                    watching.notBefore(),
                    noPrimary ? Optional.of(since) : watching.noPrimarySince(),
                    watching.resumption(),
                    watching.steppedDown());
        }
        return begin(watching, snapshot, now, effects);
    }

    /**
     * Queries replicas that may be stopped. Those in evacuated failure domains follow when the evacuation has ended.
     */
    private static Resumption resume(
            Resumption resumption, GroupSnapshot snapshot, Instant now, List<PromotionEffect> effects) {
        Set<BackendServerName> due = resumption.due(snapshot.replicas(), now);
        due.removeAll(snapshot.evacuated());
        due.forEach(replica -> effects.add(
                new PromotionEffect.SendCommand(replica, new BackendCommand.ReadStatus(), Optional.empty())));
        return due.isEmpty() ? resumption : resumption.queried(due, snapshot.evacuated(), now);
    }

    private PromotionPhase begin(
            PromotionPhase.Watching watching, GroupSnapshot snapshot, Instant now, List<PromotionEffect> effects) {
        Set<BackendServerName> replicas = snapshot.replicas();
        Optional<BackendServerName> pendingTarget = snapshot.intent()
                .filter(_ -> outlook().isUnsettled(snapshot, now))
                .map(PromotionIntent::target);
        Optional<LogPosition> lastPosition = watching.steppedDown()
                .filter(_ -> snapshot.reason().equals(Optional.of(PromotionReason.NONE_LEADS)))
                .filter(primary -> primary.isCurrent(snapshot))
                .map(SteppedDownPrimary::lastPosition);
        Attempt attempt = new Attempt(
                new AttemptId(holder, attempts + 1),
                snapshot.newestTerm() + 1,
                snapshot,
                pendingTarget,
                now.isBefore(lateRequestUntil),
                lastPosition,
                now);
        effects.add(new PromotionEffect.Log(
                "replacement started",
                "attempt=" + attempt.id() + " reason=" + snapshot.reason().get() + " term=" + attempt.term()
                        + " primary="
                        + snapshot.primary().map(BackendServerName::value).orElse("none") + " asked=" + replicas
                        + " intent="
                        + snapshot.intent().map(intent -> intent.describe(now)).orElse("none")));
        AttemptSteps steps = new AttemptSteps(attempt, now, effects);
        if (snapshot.asksPrimaryFirst()) {
            return steps.query();
        }
        Set<BackendServerName> unknown = commands.unknown(replicas, now);
        return unknown.isEmpty() ? steps.stop() : steps.inspect(unknown);
    }

    private IntentOutlook outlook() {
        return new IntentOutlook(holder, earlierAttempts, unsettledUntil, promoted.map(PromotedLog::attempt));
    }

    private PromotionPhase completed(
            PromotionEvent.CommandCompleted completed, Instant now, List<PromotionEffect> effects) {
        return anotherLeads(completed, now, effects).orElseGet(() -> applyResult(completed, now, effects));
    }

    /** Ends an attempt that has stopped replicas when a database other than the old primary answers that it leads. */
    private Optional<PromotionPhase> anotherLeads(
            PromotionEvent.CommandCompleted completed, Instant now, List<PromotionEffect> effects) {
        if (!(completed.result() instanceof CommandResult.Answered answered)
                || !answered.status().primary()) {
            return Optional.empty();
        }
        return switch (phase) {
            case PromotionPhase.Stopping stopping ->
                anotherLeads(stopping.attempt(), stopping.stopped().keySet(), completed, answered, now, effects);
            case PromotionPhase.ConfirmingStepDown confirming ->
                anotherLeads(confirming.attempt(), confirming.stopped().keySet(), completed, answered, now, effects);
            case PromotionPhase.RenewingToken renewing ->
                anotherLeads(renewing.attempt(), renewing.stopped().keySet(), completed, answered, now, effects);
            case PromotionPhase.RecordingIntent recording ->
                anotherLeads(recording.attempt(), recording.stopped().keySet(), completed, answered, now, effects);
            case PromotionPhase.AwaitingFence awaiting ->
                anotherLeads(awaiting.attempt(), awaiting.stopped().keySet(), completed, answered, now, effects);
            case PromotionPhase.Verifying verifying ->
                anotherLeads(verifying.attempt(), verifying.stopped().keySet(), completed, answered, now, effects);
            default -> Optional.empty();
        };
    }

    private static Optional<PromotionPhase> anotherLeads(
            Attempt attempt,
            Set<BackendServerName> stopped,
            PromotionEvent.CommandCompleted completed,
            CommandResult.Answered answered,
            Instant now,
            List<PromotionEffect> effects) {
        boolean another = completed.attempt().equals(Optional.of(attempt.id()))
                && !completed.command().equals(new BackendCommand.ReadStatus())
                && !attempt.snapshot().primary().equals(Optional.of(completed.database()));
        return another
                ? Optional.of(new AttemptSteps(attempt, now, effects)
                        .anotherLeads(completed.database(), answered.status(), stopped))
                : Optional.empty();
    }

    private PromotionPhase applyResult(
            PromotionEvent.CommandCompleted completed, Instant now, List<PromotionEffect> effects) {
        return switch (phase) {
            case PromotionPhase.Watching watching
            when completed.attempt().isEmpty() -> resumed(watching, completed, now, effects);
            case PromotionPhase.Inspecting inspecting
            when isAnswer(completed, inspecting.attempt(), BackendCommand.ReadStatus.class) ->
                new AttemptSteps(inspecting.attempt(), now, effects).inspected(inspecting, completed.database());
            case PromotionPhase.Querying querying
            when isAnswer(completed, querying.attempt(), BackendCommand.ReadStatus.class) ->
                new AttemptSteps(querying.attempt(), now, effects)
                        .queried(querying, completed.database(), completed.result());
            case PromotionPhase.SteppingDown steppingDown
            when isAnswer(completed, steppingDown.attempt(), BackendCommand.StepDown.class) ->
                new AttemptSteps(steppingDown.attempt(), now, effects).steppedDown(steppingDown, completed.result());
            case PromotionPhase.Stopping stopping
            when isAnswer(completed, stopping.attempt(), BackendCommand.StopReceiving.class) ->
                stopped(stopping, completed, now, effects);
            case PromotionPhase.ConfirmingStepDown confirming
            when isAnswer(completed, confirming.attempt(), BackendCommand.StepDown.class) ->
                new AttemptSteps(confirming.attempt(), now, effects).stepDownConfirmed(confirming, completed.result());
            case PromotionPhase.Verifying verifying
            when isAnswer(completed, verifying.attempt(), BackendCommand.StepDown.class) ->
                new AttemptSteps(verifying.attempt(), now, effects)
                        .steppedDownLate(verifying.candidate(), verifying.stopped(), true, completed.result())
                        .orElse(verifying);
            case PromotionPhase.AwaitingFence awaiting
            when isAnswer(completed, awaiting.attempt(), BackendCommand.StepDown.class) ->
                new AttemptSteps(awaiting.attempt(), now, effects)
                        .steppedDownLate(awaiting.candidate(), awaiting.stopped(), true, completed.result())
                        .orElse(awaiting);
            case PromotionPhase.RenewingToken renewing
            when isAnswer(completed, renewing.attempt(), BackendCommand.StepDown.class) ->
                new AttemptSteps(renewing.attempt(), now, effects)
                        .steppedDownLate(renewing.candidate(), renewing.stopped(), false, completed.result())
                        .orElse(renewing);
            case PromotionPhase.RecordingIntent recording
            when isAnswer(completed, recording.attempt(), BackendCommand.StepDown.class) ->
                new AttemptSteps(recording.attempt(), now, effects)
                        .steppedDownLate(recording.candidate(), recording.stopped(), false, completed.result())
                        .orElse(recording);
            case PromotionPhase.Verifying verifying
            when isAnswer(completed, verifying.attempt(), BackendCommand.ReadStatus.class)
                    && verifying.pending().contains(completed.database()) ->
                new AttemptSteps(verifying.attempt(), now, effects)
                        .verified(verifying, completed.database(), completed.result());
            default -> phase;
        };
    }

    private static boolean isAnswer(
            PromotionEvent.CommandCompleted completed, Attempt attempt, Class<? extends BackendCommand> command) {
        return completed.attempt().equals(Optional.of(attempt.id())) && command.isInstance(completed.command());
    }

    /**
     * Resumes a replica only if it is stopped. A resume command that is carried out late could interfere with a later
     * attempt. A replica that an unanswered command may still stop is queried again.
     */
    private PromotionPhase resumed(
            PromotionPhase.Watching watching,
            PromotionEvent.CommandCompleted completed,
            Instant now,
            List<PromotionEffect> effects) {
        if (!(completed.result() instanceof CommandResult.Answered answered)) {
            return watching;
        }
        if (answered.status().stoppedTerm() != 0) {
            effects.add(new PromotionEffect.Log("replica still stopped", "database=" + completed.database()));
            effects.add(new PromotionEffect.SendCommand(
                    completed.database(), new BackendCommand.ResumeReceiving(), Optional.empty()));
            return watching;
        }
        if (commands.isStoppable(completed.database(), now)) {
            return watching;
        }
        return new PromotionPhase.Watching(
                watching.notBefore(),
                watching.noPrimarySince(),
                watching.resumption().without(completed.database()),
                watching.steppedDown());
    }

    private PromotionPhase stopped(
            PromotionPhase.Stopping stopping,
            PromotionEvent.CommandCompleted completed,
            Instant now,
            List<PromotionEffect> effects) {
        Attempt attempt = stopping.attempt();
        Set<BackendServerName> pending = new HashSet<>(stopping.pending());
        pending.remove(completed.database());
        Map<BackendServerName, DatabaseStatus> stopped = new HashMap<>(stopping.stopped());
        if (completed.result() instanceof CommandResult.Answered answered && attempt.isStopped(answered.status())) {
            stopped.put(completed.database(), answered.status());
        }
        PromotionPhase.Stopping next = new PromotionPhase.Stopping(attempt, stopping.asked(), pending, stopped);
        return pending.isEmpty()
                ? decide(next, now, effects)
                : new AttemptSteps(attempt, now, effects)
                        .chooseRemaining(stopped)
                        .orElse(next);
    }

    private PromotionPhase decide(PromotionPhase.Stopping stopping, Instant now, List<PromotionEffect> effects) {
        Attempt attempt = stopping.attempt();
        effects.add(new PromotionEffect.Log(
                "replicas counted",
                "attempt=" + attempt.id() + " " + attempt.snapshot().describe(stopping.stopped(), now)));
        PromotionChoice choice = PromotionChoice.of(
                attempt,
                stopping.stopped(),
                commands.resumable(stopping.stopped().keySet(), now));
        return new AttemptSteps(attempt, now, effects).choose(choice, stopping.stopped());
    }

    private PromotionPhase tokenRenewed(boolean renewed, Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.RenewingToken renewing)) {
            return phase;
        }
        Attempt attempt = renewing.attempt();
        AttemptSteps steps = new AttemptSteps(attempt, now, effects);
        return renewed
                ? steps.recordIntent(renewing.stopped(), renewing.candidate())
                : steps.abandon(attempt.snapshot().replicas(), "the fencing token could not be renewed");
    }

    private PromotionPhase intentRecorded(IntentWriteResult result, Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.RecordingIntent recording)) {
            return phase;
        }
        Attempt attempt = recording.attempt();
        AttemptSteps steps = new AttemptSteps(attempt, now, effects);
        return switch (result) {
            case IntentWriteResult.Recorded _ ->
                steps.awaitFence(
                        new PromotionPhase.AwaitingFence(attempt, recording.stopped(), recording.candidate(), now));
            // The request of an earlier holder may take effect and relies on the stopped replicas.
            case IntentWriteResult.Superseded superseded
            when superseded
                    .current()
                    .filter(intent -> !outlook().isOwn(intent) && intent.mayTakeEffect(now))
                    .filter(intent -> intent.progress() == PromotionIntent.Progress.OPEN)
                    .isPresent() -> steps.abandon(Set.of(), "an earlier holder recorded an intent");
            case IntentWriteResult.Superseded _ -> steps.recordIntent(recording.stopped(), recording.candidate());
            case IntentWriteResult.Unconfirmed _ ->
                steps.abandon(attempt.snapshot().replicas(), "the promotion intent could not be recorded");
        };
    }

    private PromotionPhase accepted(Instant now, List<PromotionEffect> effects) {
        return phase instanceof PromotionPhase.Requesting requesting
                ? new AttemptSteps(requesting.attempt(), now, effects).accepted(requesting.candidate())
                : phase;
    }

    private PromotionPhase refused(Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.Requesting requesting)) {
            return phase;
        }
        boolean mayStillTakeEffect = requesting
                .unansweredAt()
                .map(at -> now.isBefore(at.plus(LATE_REQUEST_TIMEOUT)))
                .orElse(false);
        return mayStillTakeEffect
                ? requesting.retriedAt(now.plus(REQUEST_RETRY_DELAY), requesting.unansweredAt())
                : new AttemptSteps(requesting.attempt(), now, effects).refused(requesting.candidate());
    }

    private PromotionPhase unanswered(Instant now) {
        return phase instanceof PromotionPhase.Requesting requesting
                ? requesting.retriedAt(now.plus(REQUEST_RETRY_DELAY), Optional.of(now))
                : phase;
    }

    private static boolean hasTimedOut(Attempt attempt, Instant now) {
        return Duration.between(attempt.startedAt(), now).compareTo(ATTEMPT_TIMEOUT) > 0;
    }
}
