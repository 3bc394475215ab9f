package org.geraniumproxy.core.promotion;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/** Phase of a promotion. */
sealed interface PromotionPhase {
    /**
     * Returns the phase with the newest state of the group. Answers to a query are compared with what was known when it
     * was sent.
     *
     * @param latest state of the group at this time
     */
    default PromotionPhase refreshed(GroupSnapshot latest) {
        return switch (this) {
            case Watching _, Querying _ -> this;
            case Inspecting phase -> new Inspecting(phase.attempt().refreshed(latest), phase.pending());
            case SteppingDown phase -> new SteppingDown(phase.attempt().refreshed(latest), phase.leadingTerm());
            case Stopping phase ->
                new Stopping(phase.attempt().refreshed(latest), phase.asked(), phase.pending(), phase.stopped());
            case ConfirmingStepDown phase ->
                new ConfirmingStepDown(phase.attempt().refreshed(latest), phase.stopped(), phase.candidate());
            case AwaitingFence phase ->
                new AwaitingFence(
                        phase.attempt().refreshed(latest), phase.stopped(), phase.candidate(), phase.recordedAt());
            case Verifying phase ->
                new Verifying(
                        phase.attempt().refreshed(latest),
                        phase.pending(),
                        phase.stopped(),
                        phase.candidate(),
                        phase.startedAt());
            case RenewingToken phase ->
                new RenewingToken(phase.attempt().refreshed(latest), phase.stopped(), phase.candidate());
            case RecordingIntent phase ->
                new RecordingIntent(phase.attempt().refreshed(latest), phase.stopped(), phase.candidate());
            case Requesting phase ->
                new Requesting(
                        phase.attempt().refreshed(latest), phase.candidate(), phase.retryAt(), phase.unansweredAt());
        };
    }

    /**
     * No attempt is in progress.
     *
     * @param notBefore earliest time of the next attempt
     * @param noPrimarySince time since which the group has had no primary, or from which that counts
     * @param resumption replicas that may still be stopped and must be resumed
     * @param steppedDown primary that stepped down in the last attempt, if any
     */
    record Watching(
            Instant notBefore,
            Optional<Instant> noPrimarySince,
            Resumption resumption,
            Optional<SteppedDownPrimary> steppedDown)
            implements PromotionPhase {}

    /**
     * All databases are asked for their state while the primary serves, so that only a primary that leads is told to
     * step down, and only when a replica can take over.
     *
     * @param attempt current attempt
     * @param pending databases that have not answered
     * @param answers status of each database that has answered
     * @param unanswered databases that did not answer although the command was sent
     */
    record Querying(
            Attempt attempt,
            Set<BackendServerName> pending,
            Map<BackendServerName, DatabaseStatus> answers,
            Set<BackendServerName> unanswered)
            implements PromotionPhase {
        /** Copies the collections. */
        public Querying {
            pending = Set.copyOf(pending);
            answers = Map.copyOf(answers);
            unanswered = Set.copyOf(unanswered);
        }
    }

    /**
     * A primary that serves is told to step down. The replicas receive meanwhile, so that one of them holds its whole
     * log.
     *
     * @param attempt current attempt
     * @param leadingTerm term in which the primary answered that it leads
     */
    record SteppingDown(Attempt attempt, long leadingTerm) implements PromotionPhase {}

    /**
     * Replicas are asked whether they receive before they are told to stop, because an earlier holder may have sent
     * them a resume command that they did not answer.
     *
     * @param attempt current attempt
     * @param pending replicas that have not answered
     */
    record Inspecting(Attempt attempt, Set<BackendServerName> pending) implements PromotionPhase {
        /** Copies the collection. */
        public Inspecting {
            pending = Set.copyOf(pending);
        }
    }

    /**
     * Replicas are told to stop receiving.
     *
     * @param attempt current attempt
     * @param asked databases that were told to stop
     * @param pending databases that have not answered
     * @param stopped status of each replica that has stopped
     */
    record Stopping(
            Attempt attempt,
            Set<BackendServerName> asked,
            Set<BackendServerName> pending,
            Map<BackendServerName, DatabaseStatus> stopped)
            implements PromotionPhase {
        /** Copies the collections. */
        public Stopping {
            asked = Set.copyOf(asked);
            pending = Set.copyOf(pending);
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * The old primary is told to step down after a database was chosen. The replicas are queried after that, because
     * one that is resumed or restarts before may confirm another commit.
     *
     * @param attempt current attempt
     * @param stopped status of each replica when it stopped
     * @param candidate chosen database
     */
    record ConfirmingStepDown(
            Attempt attempt, Map<BackendServerName, DatabaseStatus> stopped, PromotionCandidate candidate)
            implements PromotionPhase {
        /** Copies the map. */
        public ConfirmingStepDown {
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * The intent is recorded, and the VMs confirm that they enforce it. From then on no caller is told of a commit that
     * the chosen log lacks.
     *
     * @param attempt current attempt
     * @param stopped status of each replica when it stopped
     * @param candidate chosen database
     * @param recordedAt time at which the intent was recorded
     */
    record AwaitingFence(
            Attempt attempt,
            Map<BackendServerName, DatabaseStatus> stopped,
            PromotionCandidate candidate,
            Instant recordedAt)
            implements PromotionPhase {
        /** Copies the map. */
        public AwaitingFence {
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * Stopped replicas on which the proof relies are queried again just before the request, because a restarted one
     * receives again. What a caller was told before its VM enforced the intent is in the logs that are still stopped.
     *
     * @param attempt current attempt
     * @param pending replicas that have not answered
     * @param stopped status of each replica when it stopped
     * @param candidate chosen database
     * @param startedAt time at which the replicas were queried
     */
    record Verifying(
            Attempt attempt,
            Set<BackendServerName> pending,
            Map<BackendServerName, DatabaseStatus> stopped,
            PromotionCandidate candidate,
            Instant startedAt)
            implements PromotionPhase {
        /** Copies the collections. */
        public Verifying {
            pending = Set.copyOf(pending);
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * The promotion intent is being written to the store.
     *
     * @param attempt current attempt
     * @param stopped status of each replica when it stopped
     * @param candidate chosen database
     */
    record RecordingIntent(
            Attempt attempt, Map<BackendServerName, DatabaseStatus> stopped, PromotionCandidate candidate)
            implements PromotionPhase {
        /** Copies the map. */
        public RecordingIntent {
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * A greater fencing token is obtained before the intent is recorded, because a copy of an earlier request may still
     * take effect.
     *
     * @param attempt current attempt
     * @param stopped status of each replica when it stopped
     * @param candidate chosen database
     */
    record RenewingToken(Attempt attempt, Map<BackendServerName, DatabaseStatus> stopped, PromotionCandidate candidate)
            implements PromotionPhase {
        /** Copies the map. */
        public RenewingToken {
            stopped = Map.copyOf(stopped);
        }
    }

    /**
     * The promotion request is sent until it is answered.
     *
     * @param attempt current attempt
     * @param candidate chosen database
     * @param retryAt time at which the request is sent again; empty while an answer is awaited
     * @param unansweredAt time at which a request last ended without an answer
     */
    record Requesting(
            Attempt attempt, PromotionCandidate candidate, Optional<Instant> retryAt, Optional<Instant> unansweredAt)
            implements PromotionPhase {
        Requesting retriedAt(Instant time, Optional<Instant> lastUnansweredAt) {
            return new Requesting(attempt, candidate, Optional.of(time), lastUnansweredAt);
        }
    }

    /**
     * An attempt to replace a primary.
     *
     * @param id identifies the attempt
     * @param term term with which the replicas are stopped
     * @param snapshot newest state of the group, with the primary and the reason of the beginning
     * @param pendingTarget database that an earlier request may still promote; it is preferred, and the replicas stay
     *     stopped
     * @param renewsToken whether an earlier request with the present fencing token may still take effect
     * @param lastPosition last position of the old primary, if it has stepped down
     * @param startedAt start of the attempt
     */
    record Attempt(
            AttemptId id,
            long term,
            GroupSnapshot snapshot,
            Optional<BackendServerName> pendingTarget,
            boolean renewsToken,
            Optional<LogPosition> lastPosition,
            Instant startedAt) {
        Attempt withLastPosition(LogPosition position) {
            return new Attempt(id, term, snapshot, pendingTarget, renewsToken, Optional.of(position), startedAt);
        }

        /** Returns the attempt with the newest state of the group. */
        Attempt refreshed(GroupSnapshot latest) {
            return new Attempt(
                    id, term, snapshot.refreshed(latest), pendingTarget, renewsToken, lastPosition, startedAt);
        }

        /** Returns the attempt after the supposed primary answered that it does not lead. */
        Attempt withoutPrimary() {
            return new Attempt(
                    id, term, snapshot.withoutPrimary(), pendingTarget, renewsToken, lastPosition, startedAt);
        }

        /** Returns the attempt after a database answered that it leads. */
        Attempt withoutLastPosition() {
            return new Attempt(id, term, snapshot, pendingTarget, renewsToken, Optional.empty(), startedAt);
        }

        /** Returns whether an earlier request may promote a database, so that choosing it again changes nothing. */
        boolean isPendingTarget(BackendServerName database) {
            return pendingTarget.filter(database::equals).isPresent();
        }

        /** Returns whether a replica reports that this attempt has stopped it. */
        boolean isStopped(DatabaseStatus status) {
            return !status.primary() && status.stoppedTerm() == term;
        }
    }
}
