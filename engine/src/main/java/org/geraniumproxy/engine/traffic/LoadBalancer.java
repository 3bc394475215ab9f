package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.geraniumproxy.core.balance.EjectionChange;
import org.geraniumproxy.core.balance.GroupEjections;
import org.geraniumproxy.core.balance.LoadEstimate;
import org.geraniumproxy.core.balance.LoadReport;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.balance.ReportedLoad;
import org.geraniumproxy.core.balance.ResponseSummary;
import org.geraniumproxy.core.caller.DatabaseLoad;
import org.geraniumproxy.core.caller.DatabaseObservation;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;

/**
 * State for the distribution of reads: responses and ejections of databases, and the loads that other VMs reported.
 * Used on the traffic thread.
 */
final class LoadBalancer {
    /** Bounds the datagrams; a block of groups has about this many databases. */
    private static final int MAXIMUM_REPORTED_DATABASES = 48;

    /** Time without a response after which this VM doesn't report or judge the databases of a group any more. */
    private static final Duration FORGET_TIME = Duration.ofMinutes(2);

    private final TrafficEngine engine;
    private final SplittableRandom random = new SplittableRandom();
    private final Map<GroupName, GroupEjections> ejections = new HashMap<>();
    private final Map<GroupName, Instant> lastUsedAt = new HashMap<>();
    private final Map<BackendServerName, ReportedLoad> reported = new HashMap<>();
    private LoadReports reports = LoadReports.NONE;

    LoadBalancer(TrafficEngine engine) {
        this.engine = engine;
    }

    double nextRandom() {
        return random.nextDouble();
    }

    /** Adds reports and the admitted share to the load that the connection pool of a database observes. */
    DatabaseLoad complete(GroupName group, BackendServerName database, DatabaseLoad observed, Instant now) {
        GroupEjections known = ejections.getOrDefault(group, GroupEjections.NONE);
        Optional<ReportedLoad> others = newestLoad(database, now);
        ResponseSummary responses = known.responses(database, now)
                .plus(others.map(ReportedLoad::responses).orElse(ResponseSummary.NONE));
        return observed.with(others, responses.serviceTime(), known.admittedShare(database, now));
    }

    /** Returns the figures of the owner of the database's connections if they are newer than those of the watchers. */
    private Optional<ReportedLoad> newestLoad(BackendServerName database, Instant now) {
        Optional<ReportedLoad> told = Optional.ofNullable(reported.get(database));
        Optional<ReportedLoad> ofOwner = engine.sharedConnections()
                .reportedLoad(database)
                .filter(load -> load.age(now).compareTo(LoadEstimate.MAXIMUM_AGE) <= 0)
                .filter(load -> told.isEmpty() || load.asOf().isAfter(told.get().asOf()));
        return ofOwner.map(load -> told.map(load::withResponses).orElse(load)).or(() -> told);
    }

    /** Records the outcome of a statement. Writes are no sample, because they take another time than reads. */
    void record(GroupName group, DatabaseObservation observation) {
        Instant now = engine.now();
        GroupEjections known = ejections.getOrDefault(group, GroupEjections.NONE);
        switch (observation) {
            case DatabaseObservation.Answered answered
            when !answered.acknowledgedCommit() ->
                put(group, known.answered(answered.database(), answered.latency(), now), now);
            case DatabaseObservation.Unresponsive _, DatabaseObservation.Refused _ ->
                put(group, known.failed(observation.database(), now), now);
            case DatabaseObservation.Answered _, DatabaseObservation.NotPrimary _, DatabaseObservation.Lagging _ -> {}
        }
    }

    private void put(GroupName group, GroupEjections next, Instant now) {
        ejections.put(group, next);
        lastUsedAt.put(group, now);
    }

    /** Counts a statement that was placed, by the figures on which its database was chosen. */
    void countChoice(BackendServerName database) {
        ReportedLoad others = reported.get(database);
        engine.metrics().databaseChosen(others != null);
        if (others != null) {
            engine.metrics().loadReportUsed(others.age(engine.now()));
        }
    }

    /** Returns the load of the databases of those groups that this VM has used lately. */
    Map<BackendServerName, LoadReport> ownLoads(Set<GroupName> groups, TrafficView view) {
        Instant now = engine.now();
        Map<BackendServerName, LoadReport> loads = new HashMap<>();
        for (GroupName group : groups) {
            GroupEjections known = ejections.get(group);
            Set<BackendServerName> databases =
                    view.directoryOf(group).databases().keySet();
            if (known == null || loads.size() + databases.size() > MAXIMUM_REPORTED_DATABASES) {
                continue;
            }
            for (BackendServerName database : databases) {
                DatabaseConnectionPool connectionPool = engine.connectionPool(database);
                if (connectionPool != null) {
                    loads.put(
                            database,
                            new LoadReport(
                                    engine.sharedConnections()
                                            .load(connectionPool)
                                            .outstandingStatements(),
                                    known.responses(database, now),
                                    Duration.ZERO));
                }
            }
        }
        return loads;
    }

    /** Records the load that another VM told, and returns the sums over the VMs but that one. */
    LoadReports.Sums exchange(VmName requester, Map<BackendServerName, LoadReport> loads, VmName self) {
        TrafficView view = engine.view();
        reports = reports.with(requester, loads, engine.now())
                .with(self, ownLoads(view.watchedGroups(), view), engine.now());
        return reports.sumWithout(loads.keySet(), requester, engine.now());
    }

    /** Applies the sums of a watcher. */
    void apply(LoadReports.Sums sums, Instant askedAt) {
        sums.loads()
                .forEach((database, sum) -> ReportedLoad.of(sum, sums.vms(), engine.vmCount(), askedAt)
                        .ifPresent(load -> reported.put(database, load)));
    }

    /** Ejects and re-admits databases. A watcher also applies what the others told it. */
    void onTick(VmName self) {
        Instant now = engine.now();
        lastUsedAt.values().removeIf(used -> used.plus(FORGET_TIME).isBefore(now));
        ejections.keySet().retainAll(lastUsedAt.keySet());
        Set<BackendServerName> used = new HashSet<>();
        for (GroupName group : List.copyOf(ejections.keySet())) {
            Set<BackendServerName> databases =
                    engine.view().directoryOf(group).databases().keySet();
            used.addAll(databases);
            if (engine.view().watchedGroups().contains(group) && !reports.byVm().isEmpty()) {
                apply(reports.sumWithout(databases, self, now), now);
            }
            evaluate(group, now);
        }
        reported.keySet().retainAll(used);
        reported.values().removeIf(load -> load.age(now).compareTo(LoadEstimate.MAXIMUM_AGE) > 0);
    }

    private void evaluate(GroupName group, Instant now) {
        List<BackendServerName> replicas = engine.view().directoryOf(group).readableReplicas().stream()
                .map(DatabaseEntry::name)
                .toList();
        Map<BackendServerName, ResponseSummary> others = new HashMap<>();
        for (BackendServerName replica : replicas) {
            Optional.ofNullable(reported.get(replica)).ifPresent(load -> others.put(replica, load.responses()));
        }
        Transition<GroupEjections, EjectionChange> evaluated =
                ejections.get(group).evaluate(replicas, others, now);
        ejections.put(group, evaluated.state());
        for (EjectionChange change : evaluated.effects()) {
            engine.metrics().ejectionChanged(change.kind());
            engine.log(
                    "-",
                    switch (change.kind()) {
                        case EJECTED -> "database ejected";
                        case READMITTED -> "database re-admitted";
                        case RESTORED -> "database restored";
                    },
                    "database=" + change.database() + " group=" + group + " " + change.detail());
        }
    }

    /** Forgets the figures whose times are not valid after a clock jump. */
    void onClockJump() {
        reported.clear();
        reports = LoadReports.NONE;
    }
}
