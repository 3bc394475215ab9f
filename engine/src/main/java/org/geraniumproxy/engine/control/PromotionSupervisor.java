package org.geraniumproxy.engine.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.fleet.DepartedDatabases;
import org.geraniumproxy.core.fleet.FleetEvent;
import org.geraniumproxy.core.fleet.FleetState;
import org.geraniumproxy.core.fleet.PrimaryReplacementPolicy;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.promotion.AttemptId;
import org.geraniumproxy.core.promotion.CommandResult;
import org.geraniumproxy.core.promotion.DatabaseStatus;
import org.geraniumproxy.core.promotion.GroupSnapshot;
import org.geraniumproxy.core.promotion.IntentWriteResult;
import org.geraniumproxy.core.promotion.PromotionEffect;
import org.geraniumproxy.core.promotion.PromotionEvent;
import org.geraniumproxy.core.promotion.PromotionIntent;
import org.geraniumproxy.core.promotion.PromotionState;
import org.geraniumproxy.core.service.ServiceGroup;
import org.geraniumproxy.engine.telemetry.DecisionLog;
import org.geraniumproxy.engine.traffic.CommandNotSentException;

/** Supervises the promotions of all groups while this VM holds the promotion lease. Runs on the control thread. */
public final class PromotionSupervisor {
    /** Sends commands to databases. Called on the control thread. */
    public interface DatabaseCommandSender {
        /**
         * Sends a command.
         *
         * @param database receiver of the command
         * @param command command to send
         * @param timeout maximum wait for the reply
         * @return the reply; fails with {@link CommandNotSentException} if the command was not sent, and otherwise if
         *     no reply arrives in time
         */
        CompletableFuture<BackendReply> send(BackendServerName database, BackendCommand command, Duration timeout);
    }

    /** Interval between evaluations of the groups. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final ControlLoop control;
    private final Clock clock;
    private final PromotionPlatform platform;
    private final DatabaseCommandSender commandSender;
    private final DatabaseStatusDecoder statusDecoder;
    private final DecisionLog log;
    private final Map<GroupName, PromotionState> states = new HashMap<>();
    private final Map<GroupName, String> postponedReasons = new HashMap<>();
    private final Map<GroupName, PromotionIntent> loggedIntents = new HashMap<>();

    /** Decodes the status that a database reports in a reply. */
    @FunctionalInterface
    public interface DatabaseStatusDecoder {
        /**
         * Decodes a reply.
         *
         * @param reply reply to a command
         * @return the status, or empty if the reply contains none
         */
        Optional<DatabaseStatus> decode(BackendReply reply);
    }

    /**
     * Creates a supervisor that is not started.
     *
     * @param control the control thread
     * @param clock monotonic clock
     * @param platform promotion lease, promotion intents and promotion requests
     * @param commandSender sends commands to databases
     * @param statusDecoder decodes the status of databases
     * @param log receives decisions
     */
    public PromotionSupervisor(
            ControlLoop control,
            Clock clock,
            PromotionPlatform platform,
            DatabaseCommandSender commandSender,
            DatabaseStatusDecoder statusDecoder,
            DecisionLog log) {
        this.control = control;
        this.clock = clock;
        this.platform = platform;
        this.commandSender = commandSender;
        this.statusDecoder = statusDecoder;
        this.log = log;
    }

    /** Evaluates the groups now and at regular intervals. Must be called on the control thread. */
    public void start() {
        control.schedule(CHECK_INTERVAL, this::start);
        if (platform.fencingToken().isEmpty()) {
            states.replaceAll((_, state) -> state.released(clock.instant()));
            return;
        }
        FleetState state = control.state();
        for (ServiceGroup group : state.configuration().groups().values()) {
            GroupSnapshot snapshot = snapshot(state, group);
            logOpenIntent(group.name(), snapshot);
            apply(group.name(), new PromotionEvent.TimePassed(snapshot));
        }
    }

    /**
     * Evaluates the groups with an open promotion at once, because it may wait for what has become known. Must be
     * called on the control thread.
     */
    public void evaluateOpenPromotions() {
        FleetState state = control.state();
        for (ServiceGroup group : state.configuration().groups().values()) {
            boolean open = platform.promotionIntent(group.name())
                    .filter(intent -> intent.progress() == PromotionIntent.Progress.OPEN)
                    .isPresent();
            if (open) {
                apply(group.name(), new PromotionEvent.SnapshotTaken(snapshot(state, group)));
            }
        }
    }

    /** Logs an intent that another holder left open, and what this holder knows of the group, once. */
    private void logOpenIntent(GroupName group, GroupSnapshot snapshot) {
        Optional<PromotionIntent> open =
                snapshot.intent().filter(intent -> intent.progress() == PromotionIntent.Progress.OPEN);
        boolean foreign = open.flatMap(PromotionIntent::attempt)
                .filter(attempt -> attempt.holder().equals(platform.holder()))
                .isEmpty();
        if (open.isPresent() && foreign && !open.get().equals(loggedIntents.put(group, open.get()))) {
            log(
                    group,
                    "open promotion intent of another holder",
                    "intent=" + open.get().describe(clock.instant()) + " primary=" + snapshot.primary() + " reason="
                            + snapshot.reason() + " newestTerm=" + snapshot.newestTerm() + " acknowledged="
                            + snapshot.acknowledged());
        }
    }

    private GroupSnapshot snapshot(FleetState state, ServiceGroup group) {
        Instant now = clock.instant();
        GroupDirectory directory = state.members(group.name());
        DepartedDatabases departed = DepartedDatabases.of(state, group.name(), now);
        Optional<PromotionIntent> intent =
                platform.promotionIntent(group.name()).map(known -> state.withEffect(group.name(), known));
        return new GroupSnapshot(
                directory.databases(),
                departed.suspected(),
                state.presumedPrimary(group.name()),
                PrimaryReplacementPolicy.reason(state, group.name(), now),
                state.newestTerm(group.name()),
                state.recentlyRestartedDatabases(now),
                group.synchronousReplicas(),
                state.acknowledgedPosition(group.name(), now),
                intent,
                intent.map(known -> state.unfenced(group.name(), known.fence().promotion(), now))
                        .orElse(Set.of()),
                state.evacuated(group.name()),
                departed.recordedOnly());
    }

    /** Applies the result of an effect, after what has become known since the last evaluation of the group. */
    private void applyResult(GroupName group, PromotionEvent result) {
        FleetState state = control.state();
        ServiceGroup configured = state.configuration().groups().get(group);
        if (configured != null) {
            apply(group, new PromotionEvent.SnapshotTaken(snapshot(state, configured)));
        }
        apply(group, result);
    }

    private void apply(GroupName group, PromotionEvent event) {
        OptionalLong fencingToken = platform.fencingToken();
        if (fencingToken.isEmpty()) {
            states.replaceAll((_, state) -> state.released(clock.instant()));
            return;
        }
        Transition<PromotionState, PromotionEffect> transition = states.computeIfAbsent(
                        group, _ -> PromotionState.initial(platform.holder()))
                .on(event, clock.instant());
        states.put(group, transition.state());
        for (PromotionEffect effect : transition.effects()) {
            execute(group, fencingToken.getAsLong(), effect);
        }
    }

    private void execute(GroupName group, long fencingToken, PromotionEffect effect) {
        switch (effect) {
            case PromotionEffect.SendCommand send -> sendCommand(group, send);
            case PromotionEffect.RecordIntent recordIntent -> recordIntent(group, recordIntent);
            case PromotionEffect.RenewFencingToken _ -> {
                var unused = platform.renewFencingToken()
                        .whenCompleteAsync(
                                (_, failure) -> fencingTokenRenewed(group, fencingToken, failure), control::execute);
            }
            case PromotionEffect.RequestPromotion request -> {
                postponedReasons.remove(group);
                log(
                        group,
                        "promotion requested",
                        "attempt=" + request.attempt() + " database=" + request.target() + " token=" + fencingToken
                                + " age=" + request.age().toMillis() + "ms repeated=" + request.repeated());
                var unused = platform.requestPromotion(group, request.target(), fencingToken)
                        .whenCompleteAsync(
                                (outcome, failure) ->
                                        applyResult(group, requestAnswered(group, request.attempt(), outcome, failure)),
                                control::execute);
            }
            case PromotionEffect.AnnouncePrimary announcement ->
                control.submit(new FleetEvent.PrimaryClaimed(group, announcement.claim()));
            case PromotionEffect.Postpone postpone -> logPostponed(group, postpone);
            case PromotionEffect.Log line -> log(group, line.decision(), line.detail());
        }
    }

    /** Logs why a group waits. Attempts follow each other within a second, so the same reason is logged once. */
    private void logPostponed(GroupName group, PromotionEffect.Postpone postpone) {
        if (!postpone.reason().equals(postponedReasons.put(group, postpone.reason()))) {
            log(
                    group,
                    "replacement postponed",
                    "attempt=" + postpone.attempt() + " reason=\"" + postpone.reason() + "\"");
        }
    }

    private void fencingTokenRenewed(GroupName group, long previousToken, Throwable failure) {
        log(
                group,
                "fencing token renewed",
                "previous=" + previousToken + " token=" + platform.fencingToken() + " error=\"" + failure + "\"");
        applyResult(group, new PromotionEvent.FencingTokenRenewed(failure == null));
    }

    private void sendCommand(GroupName group, PromotionEffect.SendCommand send) {
        String command = "attempt=" + send.attempt().map(AttemptId::toString).orElse("none") + " database="
                + send.database() + " command=" + send.command();
        log(group, "command sent", command);
        var unused = commandSender
                .send(send.database(), send.command(), PromotionState.COMMAND_TIMEOUT)
                .whenCompleteAsync(
                        (reply, failure) -> {
                            CommandResult result = toResult(reply, failure);
                            log(group, "command completed", command + " result=" + result);
                            if (result instanceof CommandResult.Answered answered) {
                                control.submit(new FleetEvent.TermReported(
                                        group, answered.status().term()));
                            }
                            applyResult(
                                    group,
                                    new PromotionEvent.CommandCompleted(
                                            send.database(), send.command(), send.attempt(), result));
                        },
                        control::execute);
    }

    private CommandResult toResult(BackendReply reply, Throwable failure) {
        if (failure instanceof CommandNotSentException) {
            return new CommandResult.Failed(failure.getMessage());
        }
        if (failure != null) {
            return new CommandResult.Unanswered(failure.getMessage());
        }
        return statusDecoder
                .decode(reply)
                .<CommandResult>map(CommandResult.Answered::new)
                .orElseGet(() -> new CommandResult.Failed(reply.result().toString()));
    }

    private void recordIntent(GroupName group, PromotionEffect.RecordIntent effect) {
        var unused = platform.recordIntent(group, effect.intent())
                .whenCompleteAsync(
                        (written, failure) -> {
                            IntentWriteResult result = failure == null ? written : new IntentWriteResult.Unconfirmed();
                            log(
                                    group,
                                    "promotion intent written",
                                    "attempt=" + effect.intent().attempt().orElseThrow() + " database="
                                            + effect.intent().target() + " progress="
                                            + effect.intent().progress() + " result=" + result + " error=\"" + failure
                                            + "\"");
                            if (effect.intent().progress() == PromotionIntent.Progress.OPEN) {
                                applyResult(group, new PromotionEvent.IntentRecorded(result));
                            }
                        },
                        control::execute);
    }

    private PromotionEvent requestAnswered(
            GroupName group, AttemptId attempt, PromotionRequestOutcome outcome, Throwable failure) {
        log(
                group,
                "promotion request answered",
                "attempt=" + attempt + " outcome=" + outcome + " error=\"" + failure + "\"");
        if (failure != null) {
            return new PromotionEvent.RequestUnanswered();
        }
        return switch (outcome) {
            case DONE -> new PromotionEvent.RequestAccepted();
            case REFUSED -> new PromotionEvent.RequestRefused();
            case UNANSWERED -> new PromotionEvent.RequestUnanswered();
        };
    }

    private void log(GroupName group, String decision, String detail) {
        log.write("promotion", decision, "group=" + group + " " + detail);
    }
}
