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
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.promotion.PromotionPhase.Attempt;

/**
 * Supervision of a group by the lease holder. An attempt stops the replicas, chooses a log that holds every
 * acknowledged commit, verifies that the replicas are still stopped, records the intent in the store and sends the
 * promotion request until it is answered. An intent of an earlier holder is no evidence for its target: it may have
 * reached the store late, or the replicas may have received since, so its target goes through the same steps. The
 * attempt resumes the replicas only if no request was sent: a request may take effect some hundred milliseconds after
 * its answer, or without one, and the promotion itself resumes the replicas. Once a primary serves again, replicas that
 * are still stopped are resumed.
 *
 * @param holder process that holds the lease
 * @param attempts number of attempts begun so far
 * @param earlierAttempts number of attempts begun before this VM last took the lease; whether their requests were sent
 *     is no longer known
 * @param phase current phase
 * @param lateRequestUntil time until which an unanswered request of this lease holder may still take effect
 */
public record PromotionState(
        String holder, long attempts, long earlierAttempts, PromotionPhase phase, Instant lateRequestUntil) {
    /**
     * Time limit of a command, after which the connection is closed and the command can't arrive any more. Covers
     * opening a connection and several round trips between regions.
     */
    public static final Duration COMMAND_TIMEOUT = Duration.ofMillis(500);

    /**
     * Delay after an abandoned attempt. It lets every resume command of that attempt arrive or time out before the
     * replicas are stopped for the next one.
     */
    static final Duration ATTEMPT_RETRY_DELAY = COMMAND_TIMEOUT;

    /** Time within which the entry of a new primary reaches the store after its promotion. */
    static final Duration SETTLING_TIME = Duration.ofSeconds(2);

    /** Delay before an unanswered request is retried; the platform accepts few calls per second. */
    static final Duration REQUEST_RETRY_DELAY = Duration.ofMillis(100);

    /** Time within which an unanswered request may still take effect; the platform documents up to 12 s. */
    static final Duration LATE_REQUEST_TIMEOUT = Duration.ofSeconds(13);

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
                new PromotionPhase.Watching(Instant.MIN, Optional.empty(), Resumption.ALL_REPLICAS),
                Instant.MIN);
    }

    /**
     * Returns the state after the loss of the promotion lease.
     *
     * @return a state without an attempt; attempts are numbered on, and requests of this VM may still take effect
     */
    public PromotionState released() {
        return new PromotionState(holder, attempts, attempts, initial(holder).phase(), lateRequestUntil);
    }

    /**
     * Applies an event.
     *
     * @param event input of the supervision
     * @param now current time
     * @return next state and its effects
     */
    public Transition<PromotionState, PromotionEffect> on(PromotionEvent event, Instant now) {
        List<PromotionEffect> effects = new ArrayList<>();
        PromotionPhase next = switch (event) {
            case PromotionEvent.TimePassed passed -> timePassed(passed.snapshot(), now, effects);
            case PromotionEvent.CommandCompleted completed -> completed(completed, now, effects);
            case PromotionEvent.IntentRecorded recorded -> intentRecorded(recorded.result(), now, effects);
            case PromotionEvent.FencingTokenRenewed renewed -> tokenRenewed(renewed.renewed(), now, effects);
            case PromotionEvent.RequestAccepted _ -> accepted(now, effects);
            case PromotionEvent.RequestRefused _ -> refused(now, effects);
            case PromotionEvent.RequestUnanswered _ -> unanswered(now);
        };
        boolean unanswered = event instanceof PromotionEvent.RequestUnanswered;
        boolean begun = phase instanceof PromotionPhase.Watching && !(next instanceof PromotionPhase.Watching);
        return Transition.to(
                new PromotionState(
                        holder,
                        begun ? attempts + 1 : attempts,
                        earlierAttempts,
                        next,
                        unanswered ? now.plus(LATE_REQUEST_TIMEOUT) : lateRequestUntil),
                effects);
    }

    private PromotionPhase timePassed(GroupSnapshot snapshot, Instant now, List<PromotionEffect> effects) {
        return switch (phase) {
            case PromotionPhase.Watching watching -> watch(watching, snapshot, now, effects);
            case PromotionPhase.Stopping stopping ->
                hasTimedOut(stopping.attempt(), now) ? decide(stopping, now, effects) : stopping;
            case PromotionPhase.Verifying verifying ->
                hasTimedOut(verifying.attempt(), now)
                        ? abandon(
                                verifying.attempt(),
                                verifying.stopped().keySet(),
                                "verification took too long",
                                now,
                                effects)
                        : verifying;
            case PromotionPhase.RecordingIntent recording -> recording;
            case PromotionPhase.RenewingToken renewing -> renewing;
            case PromotionPhase.Requesting requesting -> {
                boolean due = requesting.retryAt().map(at -> !now.isBefore(at)).orElse(false);
                yield due
                        ? requestPromotion(
                                requesting.attempt(), requesting.target(), requesting.unansweredAt(), now, effects)
                        : requesting;
            }
        };
    }

    private PromotionPhase watch(
            PromotionPhase.Watching watching, GroupSnapshot snapshot, Instant now, List<PromotionEffect> effects) {
        boolean settling =
                snapshot.intent().map(intent -> intent.isSettling(now)).orElse(false);
        boolean tooEarly =
                settling || watching.resumption().isCommandInFlight(now) || now.isBefore(watching.notBefore());
        if (snapshot.reason().isEmpty()) {
            boolean mayTakeEffect =
                    snapshot.intent().map(intent -> intent.mayTakeEffect(now)).orElse(false);
            Resumption resumption = tooEarly || mayTakeEffect
                    ? watching.resumption()
                    : resume(watching.resumption(), snapshot, now, effects);
            return new PromotionPhase.Watching(watching.notBefore(), Optional.empty(), resumption);
        }
        boolean noPrimary = snapshot.reason().equals(Optional.of(PromotionReason.NONE_LEADS));
        Instant since = watching.noPrimarySince().orElse(now);
        boolean confirmed = !noPrimary || Duration.between(since, now).compareTo(NO_PRIMARY_TIMEOUT) >= 0;
        if (!confirmed || tooEarly) {
            return new PromotionPhase.Watching(
                    watching.notBefore(), noPrimary ? Optional.of(since) : Optional.empty(), watching.resumption());
        }
        return begin(snapshot, now, effects);
    }

    private static Resumption resume(
            Resumption resumption, GroupSnapshot snapshot, Instant now, List<PromotionEffect> effects) {
        Set<BackendServerName> due = resumption.due(snapshot.replicas(), now);
        due.forEach(replica -> effects.add(
                new PromotionEffect.SendCommand(replica, new BackendCommand.ReadStatus(), Optional.empty())));
        return due.isEmpty() ? resumption : resumption.queried(due, now);
    }

    private PromotionPhase begin(GroupSnapshot snapshot, Instant now, List<PromotionEffect> effects) {
        Set<BackendServerName> replicas = snapshot.replicas();
        long term = snapshot.newestTerm() + 1;
        Optional<BackendServerName> pendingTarget = snapshot.intent()
                .filter(intent -> isPending(intent, snapshot, now))
                .map(PromotionIntent::target);
        Attempt attempt = new Attempt(new AttemptId(holder, attempts + 1), term, snapshot, pendingTarget, now);
        replicas.forEach(replica -> effects.add(new PromotionEffect.SendCommand(
                replica, new BackendCommand.StopReceiving(term), Optional.of(attempt.id()))));
        effects.add(new PromotionEffect.Log(
                "replacement started",
                "attempt=" + attempt.id() + " reason=" + snapshot.reason().get() + " term=" + term + " primary="
                        + snapshot.primary().map(BackendServerName::value).orElse("none") + " asked=" + replicas
                        + " intent="
                        + snapshot.intent().map(intent -> intent.describe(now)).orElse("none")));
        return new PromotionPhase.Stopping(attempt, replicas, Map.of());
    }

    /**
     * Returns whether a request of an earlier lease holder may still promote the target of an intent. This holder knows
     * the answers to its own requests, and that a request whose intent it could not record was not sent.
     */
    private boolean isPending(PromotionIntent intent, GroupSnapshot snapshot, Instant now) {
        return intent.progress() == PromotionIntent.Progress.OPEN
                && intent.mayTakeEffect(now)
                && !isOwn(intent)
                && !intent.hasTakenEffect(snapshot)
                && snapshot.mayRun(intent.target());
    }

    private boolean isOwn(PromotionIntent intent) {
        return intent.attempt()
                .filter(attempt -> attempt.holder().equals(holder) && attempt.number() > earlierAttempts)
                .isPresent();
    }

    private PromotionPhase completed(
            PromotionEvent.CommandCompleted completed, Instant now, List<PromotionEffect> effects) {
        return switch (phase) {
            case PromotionPhase.Stopping stopping
            when belongsTo(stopping.attempt(), completed)
                    && completed.command() instanceof BackendCommand.StopReceiving ->
                stopped(stopping, completed, now, effects);
            case PromotionPhase.Verifying verifying
            when belongsTo(verifying.attempt(), completed)
                    && completed.command() instanceof BackendCommand.ReadStatus ->
                verified(verifying, completed, now, effects);
            case PromotionPhase.Watching watching
            when completed.attempt().isEmpty() -> resumed(watching, completed, effects);
            default -> phase;
        };
    }

    private static boolean belongsTo(Attempt attempt, PromotionEvent.CommandCompleted completed) {
        return completed.attempt().equals(Optional.of(attempt.id()));
    }

    /**
     * Resumes a replica only if it is stopped. A resume command that is carried out late could interfere with a later
     * attempt.
     */
    private static PromotionPhase resumed(
            PromotionPhase.Watching watching,
            PromotionEvent.CommandCompleted completed,
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
        return new PromotionPhase.Watching(
                watching.notBefore(),
                watching.noPrimarySince(),
                watching.resumption().without(completed.database()));
    }

    private static PromotionPhase stopped(
            PromotionPhase.Stopping stopping,
            PromotionEvent.CommandCompleted completed,
            Instant now,
            List<PromotionEffect> effects) {
        Set<BackendServerName> pending = new HashSet<>(stopping.pending());
        pending.remove(completed.database());
        Map<BackendServerName, DatabaseStatus> stopped = new HashMap<>(stopping.stopped());
        Attempt attempt = stopping.attempt();
        if (completed.result() instanceof CommandResult.Answered answered && isStopped(attempt, answered.status())) {
            stopped.put(completed.database(), answered.status());
        }
        PromotionPhase.Stopping next = new PromotionPhase.Stopping(attempt, pending, stopped);
        return pending.isEmpty() ? decide(next, now, effects) : next;
    }

    private static PromotionPhase decide(PromotionPhase.Stopping stopping, Instant now, List<PromotionEffect> effects) {
        Attempt attempt = stopping.attempt();
        PromotionChoice choice = PromotionChoice.of(attempt.snapshot(), stopping.stopped(), attempt.pendingTarget());
        return switch (choice) {
            case PromotionChoice.Chosen chosen -> {
                stopping.stopped()
                        .keySet()
                        .forEach(database -> effects.add(new PromotionEffect.SendCommand(
                                database, new BackendCommand.ReadStatus(), Optional.of(attempt.id()))));
                // A replica that restarts from now on receives again, so the primary steps down and acknowledges no
                // further commits.
                attempt.snapshot()
                        .primary()
                        .ifPresent(primary -> effects.add(new PromotionEffect.SendCommand(
                                primary, new BackendCommand.StepDown(attempt.term()), Optional.of(attempt.id()))));
                effects.add(new PromotionEffect.Log(
                        "database chosen", "attempt=" + attempt.id() + " database=" + chosen.target()));
                yield new PromotionPhase.Verifying(
                        attempt, stopping.stopped().keySet(), stopping.stopped(), chosen.target());
            }
            case PromotionChoice.Insufficient insufficient ->
                abandon(attempt, stopping.stopped().keySet(), insufficient.reason(), now, effects);
        };
    }

    private PromotionPhase verified(
            PromotionPhase.Verifying verifying,
            PromotionEvent.CommandCompleted completed,
            Instant now,
            List<PromotionEffect> effects) {
        Attempt attempt = verifying.attempt();
        DatabaseStatus before = verifying.stopped().get(completed.database());
        boolean unchanged = completed.result() instanceof CommandResult.Answered answered
                && isStopped(attempt, answered.status())
                && answered.status().received().equals(before.received());
        if (!unchanged) {
            String reason = "database " + completed.database() + " is no longer stopped";
            return abandon(attempt, verifying.stopped().keySet(), reason, now, effects);
        }
        Set<BackendServerName> pending = new HashSet<>(verifying.pending());
        pending.remove(completed.database());
        if (!pending.isEmpty()) {
            return new PromotionPhase.Verifying(attempt, pending, verifying.stopped(), verifying.target());
        }
        if (now.isBefore(lateRequestUntil)) {
            effects.add(new PromotionEffect.RenewFencingToken());
            return new PromotionPhase.RenewingToken(attempt, verifying.target());
        }
        return recordIntent(attempt, verifying.target(), now, effects);
    }

    private PromotionPhase tokenRenewed(boolean renewed, Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.RenewingToken renewing)) {
            return phase;
        }
        return renewed
                ? recordIntent(renewing.attempt(), renewing.target(), now, effects)
                : abandon(
                        renewing.attempt(),
                        renewing.attempt().snapshot().replicas(),
                        "the fencing token could not be renewed",
                        now,
                        effects);
    }

    private static PromotionPhase recordIntent(
            Attempt attempt, BackendServerName target, Instant now, List<PromotionEffect> effects) {
        effects.add(intentEffect(target, attempt, PromotionIntent.Progress.OPEN, now));
        return new PromotionPhase.RecordingIntent(attempt, target);
    }

    private PromotionPhase intentRecorded(IntentWriteResult result, Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.RecordingIntent recording)) {
            return phase;
        }
        Attempt attempt = recording.attempt();
        return switch (result) {
            case IntentWriteResult.Recorded _ ->
                requestPromotion(attempt, recording.target(), Optional.empty(), now, effects);
            case IntentWriteResult.Superseded superseded -> superseded(recording, superseded.current(), now, effects);
            case IntentWriteResult.Unconfirmed _ ->
                abandon(
                        attempt,
                        attempt.snapshot().replicas(),
                        "the promotion intent could not be recorded",
                        now,
                        effects);
        };
    }

    /**
     * Handles an intent that reached the store before the one of this attempt. The request of an earlier holder may
     * take effect and relies on the stopped replicas; any other intent is replaced.
     */
    private PromotionPhase superseded(
            PromotionPhase.RecordingIntent recording,
            Optional<PromotionIntent> current,
            Instant now,
            List<PromotionEffect> effects) {
        Attempt attempt = recording.attempt();
        boolean pending = current.filter(intent -> isPending(intent, attempt.snapshot(), now))
                .isPresent();
        if (pending) {
            return abandon(attempt, Set.of(), "an earlier holder recorded an intent", now, effects);
        }
        return recordIntent(attempt, recording.target(), now, effects);
    }

    private static PromotionPhase requestPromotion(
            Attempt attempt,
            BackendServerName target,
            Optional<Instant> unansweredAt,
            Instant now,
            List<PromotionEffect> effects) {
        effects.add(new PromotionEffect.RequestPromotion(
                target, attempt.id(), Duration.between(attempt.startedAt(), now), unansweredAt.isPresent()));
        return new PromotionPhase.Requesting(attempt, target, Optional.empty(), unansweredAt);
    }

    private static PromotionEffect intentEffect(
            BackendServerName target, Attempt attempt, PromotionIntent.Progress progress, Instant now) {
        return new PromotionEffect.RecordIntent(
                new PromotionIntent(target, attempt.term(), progress, Optional.of(attempt.id()), now));
    }

    private PromotionPhase accepted(Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.Requesting requesting)) {
            return phase;
        }
        Attempt attempt = requesting.attempt();
        Duration duration = Duration.between(attempt.startedAt(), now);
        effects.add(new PromotionEffect.Log(
                "promotion accepted",
                "attempt=" + attempt.id() + " database=" + requesting.target() + " took=" + duration.toMillis()
                        + "ms"));
        effects.add(new PromotionEffect.AnnouncePrimary(new PrimaryClaim(requesting.target(), attempt.term())));
        effects.add(intentEffect(requesting.target(), attempt, PromotionIntent.Progress.TAKEN, now));
        return new PromotionPhase.Watching(now.plus(SETTLING_TIME), Optional.empty(), Resumption.ALL_REPLICAS);
    }

    private PromotionPhase refused(Instant now, List<PromotionEffect> effects) {
        if (!(phase instanceof PromotionPhase.Requesting requesting)) {
            return phase;
        }
        Attempt attempt = requesting.attempt();
        boolean mayStillTakeEffect = requesting
                .unansweredAt()
                .map(at -> now.isBefore(at.plus(LATE_REQUEST_TIMEOUT)))
                .orElse(false);
        if (mayStillTakeEffect) {
            return new PromotionPhase.Requesting(
                    attempt,
                    requesting.target(),
                    Optional.of(now.plus(REQUEST_RETRY_DELAY)),
                    requesting.unansweredAt());
        }
        effects.add(intentEffect(requesting.target(), attempt, PromotionIntent.Progress.REFUSED, now));
        return abandon(attempt, attempt.snapshot().replicas(), "the promotion request was refused", now, effects);
    }

    private PromotionPhase unanswered(Instant now) {
        return phase instanceof PromotionPhase.Requesting requesting
                ? new PromotionPhase.Requesting(
                        requesting.attempt(),
                        requesting.target(),
                        Optional.of(now.plus(REQUEST_RETRY_DELAY)),
                        Optional.of(now))
                : phase;
    }

    /**
     * Ends an attempt. Replicas known to be stopped are resumed at once, others when their status shows that they are
     * stopped. None is resumed while an earlier request relies on them.
     */
    private static PromotionPhase abandon(
            Attempt attempt,
            Set<BackendServerName> stopped,
            String reason,
            Instant now,
            List<PromotionEffect> effects) {
        effects.add(new PromotionEffect.Log(
                "replacement postponed", "attempt=" + attempt.id() + " reason=\"" + reason + "\""));
        Set<BackendServerName> resumed = attempt.pendingTarget().isPresent() ? Set.of() : stopped;
        for (BackendServerName replica : resumed) {
            effects.add(new PromotionEffect.SendCommand(
                    replica, new BackendCommand.ResumeReceiving(), Optional.of(attempt.id())));
        }
        return new PromotionPhase.Watching(now.plus(ATTEMPT_RETRY_DELAY), Optional.empty(), Resumption.ALL_REPLICAS);
    }

    private static boolean isStopped(Attempt attempt, DatabaseStatus status) {
        return !status.primary() && status.stoppedTerm() == attempt.term();
    }

    private static boolean hasTimedOut(Attempt attempt, Instant now) {
        return Duration.between(attempt.startedAt(), now).compareTo(ATTEMPT_TIMEOUT) > 0;
    }
}
