package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Commands that a database may still carry out, seconds after they were sent and after newer ones. A replica that
 * resumes while another database is being promoted confirms commits that the promoted log lacks; one that stops later
 * stays stopped.
 *
 * @param sent commands of this holder to resume or stop that were neither answered nor failed
 * @param receiving replicas that have reported since the start of the lease that they receive; no resume command of an
 *     earlier holder is outstanding for them, because a holder resumes only stopped replicas
 * @param leaseStartedAt time at which this VM took the lease, or empty before its first event
 */
record OutstandingCommands(Set<Sent> sent, Set<BackendServerName> receiving, Optional<Instant> leaseStartedAt) {
    /** Time within which a database may carry out a command that it did not answer; documented are up to 12 s. */
    static final Duration LATE_COMMAND_TIMEOUT = Duration.ofSeconds(13);

    static final OutstandingCommands NONE = new OutstandingCommands(Set.of(), Set.of(), Optional.empty());

    /**
     * Command that may still be carried out.
     *
     * @param database recipient
     * @param command the command
     * @param attempt attempt to which the command belongs, or empty if it belongs to none
     * @param sentAt time at which it was sent
     */
    record Sent(BackendServerName database, BackendCommand command, Optional<AttemptId> attempt, Instant sentAt) {
        boolean isPossible(Instant now) {
            return now.isBefore(sentAt.plus(LATE_COMMAND_TIMEOUT));
        }

        boolean resumes() {
            return command instanceof BackendCommand.ResumeReceiving;
        }

        boolean stops() {
            return command instanceof BackendCommand.StopReceiving;
        }

        boolean isCompletedBy(PromotionEvent.CommandCompleted completed) {
            return database.equals(completed.database())
                    && command.equals(completed.command())
                    && attempt.equals(completed.attempt());
        }
    }

    OutstandingCommands {
        sent = Set.copyOf(sent);
        receiving = Set.copyOf(receiving);
    }

    /** Returns the commands at the next start of the lease; those of other holders are unknown by then. */
    OutstandingCommands released() {
        return new OutstandingCommands(sent, Set.of(), Optional.empty());
    }

    /** Returns the commands after an event, before its effects. */
    OutstandingCommands on(PromotionEvent event, Instant now) {
        OutstandingCommands held =
                leaseStartedAt.isPresent() ? this : new OutstandingCommands(sent, receiving, Optional.of(now));
        return event instanceof PromotionEvent.CommandCompleted completed ? held.completed(completed) : held;
    }

    private OutstandingCommands completed(PromotionEvent.CommandCompleted completed) {
        Set<Sent> remaining = new HashSet<>(sent);
        if (!(completed.result() instanceof CommandResult.Unanswered)) {
            // The result of a command arrives before an equal one is sent, so it is that of the last one.
            sent.stream()
                    .filter(command -> command.isCompletedBy(completed))
                    .max(Comparator.comparing(Sent::sentAt))
                    .ifPresent(remaining::remove);
        }
        Set<BackendServerName> reported = new HashSet<>(receiving);
        if (completed.command() instanceof BackendCommand.ReadStatus && reportsReceiving(completed.result())) {
            reported.add(completed.database());
        }
        return new OutstandingCommands(remaining, reported, leaseStartedAt);
    }

    /** Returns the commands after those among the effects are sent. */
    OutstandingCommands sent(List<PromotionEffect> effects, Instant now) {
        Set<Sent> next = new HashSet<>(sent);
        next.removeIf(command -> !command.isPossible(now));
        for (PromotionEffect effect : effects) {
            if (effect instanceof PromotionEffect.SendCommand send) {
                Sent command = new Sent(send.database(), send.command(), send.attempt(), now);
                if (command.resumes() || command.stops()) {
                    next.add(command);
                }
            }
        }
        return new OutstandingCommands(next, receiving, leaseStartedAt);
    }

    /** Returns the replicas that an unanswered command may still resume. */
    Set<BackendServerName> resumable(Set<BackendServerName> replicas, Instant now) {
        Set<BackendServerName> resumable = new HashSet<>(unknown(replicas, now));
        sent.stream()
                .filter(Sent::resumes)
                .filter(command -> command.isPossible(now))
                .map(Sent::database)
                .filter(replicas::contains)
                .forEach(resumable::add);
        return resumable;
    }

    /** Returns the replicas for which a resume command of an earlier holder may be outstanding. */
    Set<BackendServerName> unknown(Set<BackendServerName> replicas, Instant now) {
        boolean expired = leaseStartedAt
                .filter(start -> !now.isBefore(start.plus(LATE_COMMAND_TIMEOUT)))
                .isPresent();
        return expired
                ? Set.of()
                : replicas.stream()
                        .filter(replica -> !receiving.contains(replica))
                        .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether an unanswered command may still stop a replica. */
    boolean isStoppable(BackendServerName replica, Instant now) {
        return sent.stream()
                .anyMatch(command -> command.stops() && command.database().equals(replica) && command.isPossible(now));
    }

    /** Returns whether the answer to a resume command is still awaited. */
    boolean awaitsResumption(Instant now) {
        return sent.stream()
                .anyMatch(command ->
                        command.resumes() && now.isBefore(command.sentAt().plus(PromotionState.COMMAND_TIMEOUT)));
    }

    private static boolean reportsReceiving(CommandResult result) {
        return result instanceof CommandResult.Answered answered
                && answered.status().stoppedTerm() == 0;
    }
}
