package org.geraniumproxy.engine.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.GroupMembers;
import org.geraniumproxy.core.fleet.DepartedDatabases;
import org.geraniumproxy.core.fleet.FleetState;
import org.geraniumproxy.core.fleet.PrimaryReplacementPolicy;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.promotion.DepartureCheck;
import org.geraniumproxy.core.promotion.PromotionState;
import org.geraniumproxy.core.service.ServiceGroup;
import org.geraniumproxy.engine.telemetry.DecisionLog;

/**
 * Keeps the record of each group's members while this VM holds the promotion lease. The store is called only when a
 * database joins, moves, restarts or has departed. Runs on the control thread.
 */
public final class MembershipRecorder {
    /** Interval between comparisons; a commit of a database that has just joined is exposed for this time. */
    private static final Duration COMPARISON_INTERVAL = Duration.ofMillis(200);

    /** Delay after a write that failed, so that a store that is down or slow gets one call a second. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ControlLoop control;
    private final Clock clock;
    private final PromotionPlatform platform;
    private final PromotionSupervisor.DatabaseCommandSender commandSender;
    private final PromotionSupervisor.DatabaseStatusDecoder statusDecoder;
    private final DecisionLog log;
    private final Map<GroupName, DepartureCheck> checks = new HashMap<>();
    private boolean writing;
    private Instant nextWriteAt = Instant.MIN;

    /**
     * Creates a recorder that is not started.
     *
     * @param control the control thread
     * @param clock monotonic clock
     * @param platform promotion lease and records
     * @param commandSender sends commands to databases
     * @param statusDecoder decodes the status of databases
     * @param log receives decisions
     */
    public MembershipRecorder(
            ControlLoop control,
            Clock clock,
            PromotionPlatform platform,
            PromotionSupervisor.DatabaseCommandSender commandSender,
            PromotionSupervisor.DatabaseStatusDecoder statusDecoder,
            DecisionLog log) {
        this.control = control;
        this.clock = clock;
        this.platform = platform;
        this.commandSender = commandSender;
        this.statusDecoder = statusDecoder;
        this.log = log;
    }

    /**
     * Compares the records with the known databases now and at regular intervals. Must be called on the control thread.
     */
    public void start() {
        control.schedule(COMPARISON_INTERVAL, this::start);
        if (platform.fencingToken().isEmpty()) {
            checks.clear();
            return;
        }
        FleetState state = control.state();
        Map<GroupName, GroupDirectory> members = state.members();
        Set<BackendServerName> restarted = state.recentlyRestartedDatabases(clock.instant());
        Set<BackendServerName> ended = DepartedDatabases.ended(state, clock.instant());
        Map<GroupName, GroupMembers> changed = new LinkedHashMap<>();
        for (ServiceGroup group : state.configuration().groups().values()) {
            Map<BackendServerName, DatabaseEntry> present =
                    members.getOrDefault(group.name(), GroupDirectory.EMPTY).databases();
            GroupMembers current = platform.recordedMembers(group.name()).orElse(GroupMembers.NONE);
            Set<BackendServerName> departed = new HashSet<>(current.byName().keySet());
            departed.retainAll(ended);
            Set<BackendServerName> settled = settled(state, group, departed);
            GroupMembers next = current.next(present, restarted, settled);
            if (!next.equals(current)) {
                changed.put(group.name(), next);
            }
        }
        write(changed);
    }

    /** Returns the departed members whose commits are held by others, and begins a check of the rest if one is due. */
    private Set<BackendServerName> settled(FleetState state, ServiceGroup group, Set<BackendServerName> departed) {
        if (departed.isEmpty()) {
            checks.remove(group.name());
            return Set.of();
        }
        Set<BackendServerName> settled = new HashSet<>(
                checks.getOrDefault(group.name(), DepartureCheck.initial()).settled());
        settled.retainAll(departed);
        if (settled.isEmpty()) {
            boolean serves = PrimaryReplacementPolicy.reason(state, group.name(), clock.instant())
                    .isEmpty();
            Optional<BackendServerName> primary =
                    state.presumedPrimary(group.name()).filter(_ -> serves);
            apply(group, new DepartureCheck.Event.TimePassed(departed, primary));
        }
        return settled;
    }

    private void apply(ServiceGroup group, DepartureCheck.Event event) {
        DepartureCheck previous = checks.getOrDefault(group.name(), DepartureCheck.initial());
        Transition<DepartureCheck, BackendServerName> transition = previous.on(event, replicas(group), clock.instant());
        checks.put(group.name(), transition.state());
        if (!transition.state().equals(previous)) {
            log.write("promotion", "departed members checked", "group=" + group.name() + " " + transition.state());
        }
        transition.effects().forEach(database -> readStatus(group, database));
    }

    private DepartureCheck.Replicas replicas(ServiceGroup group) {
        FleetState state = control.state();
        Set<BackendServerName> names =
                new HashSet<>(state.members(group.name()).databases().keySet());
        state.presumedPrimary(group.name()).ifPresent(names::remove);
        names.removeAll(state.recentlyRestartedDatabases(clock.instant()));
        return new DepartureCheck.Replicas(names, group.synchronousReplicas());
    }

    private void readStatus(ServiceGroup group, BackendServerName database) {
        var unused = commandSender
                .send(database, new BackendCommand.ReadStatus(), PromotionState.COMMAND_TIMEOUT)
                .whenCompleteAsync(
                        (reply, failure) -> apply(
                                group,
                                new DepartureCheck.Event.StatusRead(
                                        database,
                                        Optional.<BackendReply>ofNullable(failure == null ? reply : null)
                                                .flatMap(statusDecoder::decode))),
                        control::execute);
    }

    private void write(Map<GroupName, GroupMembers> changed) {
        if (changed.isEmpty() || writing || clock.instant().isBefore(nextWriteAt)) {
            return;
        }
        Map<GroupName, GroupMembers> written = new LinkedHashMap<>();
        changed.entrySet().stream()
                .limit(platform.maximumRecordedGroups())
                .forEach(entry -> written.put(entry.getKey(), entry.getValue()));
        writing = true;
        var unused = platform.recordMembers(written)
                .whenCompleteAsync((recorded, failure) -> written(written, recorded, failure), control::execute);
    }

    private void written(Map<GroupName, GroupMembers> written, Boolean recorded, Throwable failure) {
        writing = false;
        boolean succeeded = failure == null && recorded;
        if (!succeeded) {
            nextWriteAt = clock.instant().plus(RETRY_DELAY);
        }
        written.forEach((group, members) -> log.write(
                "promotion",
                succeeded ? "members recorded" : "members not recorded",
                "group=" + group + " members=" + members.byName().keySet()
                        + (failure == null ? "" : " error=\"" + failure + "\"")));
    }
}
