package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;

/** A group of a primary and two replicas whose lease holder is driven event by event. */
class PromotionStateFixture {
    static final BackendServerName PRIMARY = BackendServerName.of("db-1");
    static final BackendServerName SECOND = BackendServerName.of("db-2");
    static final BackendServerName THIRD = BackendServerName.of("db-3");
    static final BackendServerName ADDED = BackendServerName.of("db-4");
    static final long TERM = 4;
    static final AttemptId OTHER_ATTEMPT = new AttemptId("vm-2", 1);
    static final Instant LONG_AGO = Instant.EPOCH.minus(Duration.ofMinutes(1));

    Instant now = Instant.EPOCH;
    PromotionState state = stateOfHolderThatSawReplicasReceive();
    List<PromotionEffect> effects = List.of();
    Set<BackendServerName> draining = Set.of();
    Set<BackendServerName> recentlyRestarted = Set.of();
    Set<BackendServerName> suspected = Set.of();
    Optional<PromotionReason> reason = Optional.of(PromotionReason.FAILING);
    Optional<PromotionIntent> intent = Optional.empty();
    Optional<LogPosition> acknowledged = Optional.empty();
    Set<VmName> unfenced = Set.of();
    Set<BackendServerName> evacuated = Set.of();
    DepartedMembers departed = DepartedMembers.NONE;
    Optional<BackendServerName> primary = Optional.of(PRIMARY);
    long newestTerm = TERM - 1;
    List<BackendServerName> members = List.of(PRIMARY, SECOND, THIRD);

    /** Begins an attempt in which both replicas stop at the given positions. */
    void stopAt(long second, long third) {
        begin();
        answerStopped(second, third);
    }

    /** Runs an attempt up to the request to promote the replica with the higher position. */
    void requestAt(long second, long third) {
        stopAt(second, third);
        record();
        answerStopped(second, third);
    }

    /** Confirms that the open intent is in the store. */
    void record() {
        on(new PromotionEvent.IntentRecorded(new IntentWriteResult.Recorded()));
    }

    void begin() {
        on(new PromotionEvent.TimePassed(snapshot()));
    }

    /** Begins the replacement of a failing primary beside a replica without an entry; both replicas answer. */
    void beginWithSuspectedThird() {
        suspected = Set.of(THIRD);
        begin();
        answer(SECOND, Optional.of(receiving(10)));
        answer(THIRD, Optional.of(receiving(10)));
    }

    /** Begins the replacement of a primary that leaves; it leads, and a replica receives. */
    void beginReplacementOfLeavingPrimary() {
        reason = Optional.of(PromotionReason.LEAVING);
        begin();
        answer(PRIMARY, Optional.of(leading(10)));
        answer(SECOND, Optional.of(receiving(10)));
    }

    void answerStopped(long second, long third) {
        answer(SECOND, stopped(second));
        answer(THIRD, stopped(third));
    }

    void answer(BackendServerName database, Optional<DatabaseStatus> status) {
        BackendCommand command = state.phase() instanceof PromotionPhase.Stopping
                ? new BackendCommand.StopReceiving(TERM)
                : new BackendCommand.ReadStatus();
        complete(database, command, Optional.of(new AttemptId("vm-1", state.attempts())), status);
    }

    /** Ends the command that reads the status of a database before it is sent. */
    void fail(BackendServerName database) {
        on(new PromotionEvent.CommandCompleted(
                database,
                new BackendCommand.ReadStatus(),
                Optional.of(new AttemptId("vm-1", state.attempts())),
                new CommandResult.Failed("no connection to the database")));
    }

    void answerResumption(BackendServerName replica) {
        Optional<AttemptId> attempt = Optional.of(new AttemptId("vm-1", state.attempts()));
        complete(replica, new BackendCommand.ResumeReceiving(), attempt, Optional.of(receiving(12)));
    }

    void answerStepDown(CommandResult result) {
        on(new PromotionEvent.CommandCompleted(
                PRIMARY,
                new BackendCommand.StepDown(TERM),
                Optional.of(new AttemptId("vm-1", state.attempts())),
                result));
    }

    /** Abandons an attempt because the third replica didn't answer; the second one doesn't answer when resumed. */
    void abandonWithUnansweredResumptionOfSecond() {
        begin();
        answer(SECOND, stopped(10));
        answer(THIRD, Optional.empty());
        Optional<AttemptId> attempt = Optional.of(new AttemptId("vm-1", state.attempts()));
        complete(SECOND, new BackendCommand.ResumeReceiving(), attempt, Optional.empty());
        now = now.plus(PromotionState.ATTEMPT_RETRY_DELAY);
    }

    static PromotionState stateOfHolderThatSawReplicasReceive() {
        PromotionState initial = PromotionState.initial("vm-1");
        return new PromotionState(
                initial.holder(),
                0,
                0,
                initial.phase(),
                Instant.MIN,
                Instant.MIN,
                new OutstandingCommands(Set.of(), Set.of(SECOND, THIRD), Optional.of(Instant.EPOCH)),
                Optional.empty());
    }

    void resumed(BackendServerName database, Optional<DatabaseStatus> status) {
        complete(database, new BackendCommand.ReadStatus(), Optional.empty(), status);
    }

    void complete(
            BackendServerName database,
            BackendCommand command,
            Optional<AttemptId> attempt,
            Optional<DatabaseStatus> status) {
        CommandResult result = status.<CommandResult>map(CommandResult.Answered::new)
                .orElseGet(() -> new CommandResult.Unanswered("no answer in time"));
        on(new PromotionEvent.CommandCompleted(database, command, attempt, result));
    }

    void on(PromotionEvent event) {
        Transition<PromotionState, PromotionEffect> transition = state.on(event, now);
        state = transition.state();
        effects = transition.effects();
    }

    List<BackendServerName> sent(Class<? extends BackendCommand> type) {
        return effects.stream()
                .filter(PromotionEffect.SendCommand.class::isInstance)
                .map(PromotionEffect.SendCommand.class::cast)
                .filter(send -> type.isInstance(send.command()))
                .map(PromotionEffect.SendCommand::database)
                .toList();
    }

    List<String> loggedDecisions() {
        return effects.stream()
                .filter(PromotionEffect.Log.class::isInstance)
                .map(effect -> ((PromotionEffect.Log) effect).decision())
                .toList();
    }

    List<BackendServerName> requestedPromotions() {
        return effects.stream()
                .filter(PromotionEffect.RequestPromotion.class::isInstance)
                .map(effect -> ((PromotionEffect.RequestPromotion) effect).target())
                .toList();
    }

    List<PromotionIntent> recordedIntents() {
        return effects.stream()
                .filter(PromotionEffect.RecordIntent.class::isInstance)
                .map(effect -> ((PromotionEffect.RecordIntent) effect).intent())
                .toList();
    }

    List<PromotionIntent.Progress> recordedProgress() {
        return recordedIntents().stream().map(PromotionIntent::progress).toList();
    }

    GroupSnapshot snapshot() {
        Map<BackendServerName, DatabaseEntry> databases = new HashMap<>();
        Map<BackendServerName, DatabaseEntry> withoutEntry = new HashMap<>();
        for (BackendServerName name : members) {
            DatabaseEntry entry = new DatabaseEntry(
                    name,
                    GroupName.of("entries"),
                    "10.0.0.1:1",
                    FailureDomain.of("a"),
                    2,
                    draining.contains(name),
                    name.equals(PRIMARY),
                    1,
                    1,
                    new StoreRevision(1, 1));
            (suspected.contains(name) ? withoutEntry : databases).put(name, entry);
        }
        return new GroupSnapshot(
                databases,
                withoutEntry,
                primary,
                reason,
                newestTerm,
                recentlyRestarted,
                1,
                acknowledged,
                intent,
                unfenced,
                evacuated,
                departed);
    }

    PromotionIntent openIntent(BackendServerName target, Optional<AttemptId> attempt) {
        Instant learnedAt = now.minus(PromotionState.SETTLING_TIME);
        return new PromotionIntent(target, TERM, PromotionIntent.Progress.OPEN, Optional.empty(), attempt, learnedAt);
    }

    static DatabaseStatus leading(long position) {
        return new DatabaseStatus(true, TERM - 1, LogPosition.of(3, position), 0);
    }

    static DatabaseStatus steppedDown(long position) {
        return new DatabaseStatus(false, TERM - 1, LogPosition.of(3, position), 0);
    }

    static DatabaseStatus receiving(long position) {
        return new DatabaseStatus(false, TERM, LogPosition.of(3, position), 0);
    }

    static Optional<DatabaseStatus> stopped(long position) {
        return Optional.of(new DatabaseStatus(false, TERM, LogPosition.of(3, position), TERM));
    }
}
