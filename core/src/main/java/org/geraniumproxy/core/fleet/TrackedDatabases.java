package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.directory.DatabaseAvailability;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.GroupMembers;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.routing.EvacuationPhase;
import org.geraniumproxy.core.routing.PlacementConstraints;

/**
 * The databases known to this VM and the primary of each group.
 *
 * @param timing drain notice and catch-up time of the deployment
 * @param byName databases by name
 * @param claims newest primary claim of each group from a promotion or from a database
 * @param demotedRevisions entry revision of each database at which it refused a write as a replica
 * @param evacuations evacuated failure domains
 * @param recorded members of each group that its record names
 */
record TrackedDatabases(
        FleetTiming timing,
        Map<BackendServerName, TrackedDatabase> byName,
        Map<GroupName, PrimaryClaim> claims,
        Map<BackendServerName, StoreRevision> demotedRevisions,
        TrackedEvacuations evacuations,
        Map<GroupName, Set<BackendServerName>> recorded) {
    TrackedDatabases {
        byName = Map.copyOf(byName);
        claims = Map.copyOf(claims);
        demotedRevisions = Map.copyOf(demotedRevisions);
        recorded = Map.copyOf(recorded);
    }

    static TrackedDatabases empty(FleetTiming timing, EvacuationRules rules) {
        return new TrackedDatabases(timing, Map.of(), Map.of(), Map.of(), TrackedEvacuations.none(rules), Map.of());
    }

    /** Groups the databases whose availability is one of those given. */
    Map<GroupName, GroupDirectory> directories(Set<DatabaseAvailability> availabilities) {
        Map<GroupName, Map<BackendServerName, DatabaseEntry>> entries = new HashMap<>();
        for (TrackedDatabase database : byName.values()) {
            if (availabilities.contains(database.availability())) {
                DatabaseEntry entry = database.entry();
                entries.computeIfAbsent(entry.group(), _ -> new HashMap<>()).put(entry.name(), entry);
            }
        }
        Map<GroupName, GroupDirectory> directories = new HashMap<>();
        entries.forEach((group, members) -> directories.put(group, directory(group, members)));
        return directories;
    }

    /** Returns the databases of one group whose availability is one of those given. */
    GroupDirectory directory(GroupName group, Set<DatabaseAvailability> availabilities) {
        Map<BackendServerName, DatabaseEntry> members = new HashMap<>();
        for (TrackedDatabase database : byName.values()) {
            DatabaseEntry entry = database.entry();
            if (entry.group().equals(group) && availabilities.contains(database.availability())) {
                members.put(entry.name(), entry);
            }
        }
        return members.isEmpty() ? GroupDirectory.EMPTY : directory(group, members);
    }

    private GroupDirectory directory(GroupName group, Map<BackendServerName, DatabaseEntry> members) {
        Map<BackendServerName, StoreRevision> demoted = new HashMap<>(demotedRevisions);
        demoted.keySet().retainAll(members.keySet());
        return new GroupDirectory(members, Optional.ofNullable(claims.get(group)), demoted);
    }

    /** Returns the databases that must not get new statements. */
    Map<BackendServerName, DatabaseEntry> unavailable() {
        Map<BackendServerName, DatabaseEntry> unavailable = new HashMap<>();
        byName.forEach((name, database) -> {
            if (database.availability() != DatabaseAvailability.USED) {
                unavailable.put(name, database.entry());
            }
        });
        return unavailable;
    }

    Set<BackendServerName> recentlyRestarted(Instant now) {
        return byName.values().stream()
                .filter(database -> database.isRecentlyRestarted(timing, now))
                .map(database -> database.entry().name())
                .collect(Collectors.toSet());
    }

    Duration missingDuration(BackendServerName database, Instant now) {
        return Optional.ofNullable(byName.get(database))
                .flatMap(TrackedDatabase::missingSince)
                .map(since -> Duration.between(since, now))
                .orElse(Duration.ZERO);
    }

    TrackedDatabases replaceEntries(
            Map<BackendServerName, DatabaseEntry> entries, Instant now, List<FleetEffect> effects) {
        Map<BackendServerName, TrackedDatabase> next = new HashMap<>();
        byName.forEach((name, database) -> next.put(name, database.markMissing(now)));
        entries.forEach((name, entry) -> next.put(name, replaceEntry(entry, now, effects)));
        return with(next);
    }

    private TrackedDatabase replaceEntry(DatabaseEntry entry, Instant now, List<FleetEffect> effects) {
        TrackedDatabase known = byName.get(entry.name());
        if (known == null) {
            logEntry(entry, effects);
            return TrackedDatabase.of(entry, timing, now);
        }
        if (known.isOutdatedCopy(entry)) {
            logIgnored(entry, known, effects);
            return known;
        }
        if (!known.entry().equals(entry)) {
            logEntry(entry, effects);
        }
        return known.updated(entry, now);
    }

    TrackedDatabases updateEntry(DatabaseEntry entry, Instant now, List<FleetEffect> effects) {
        TrackedDatabase known = byName.get(entry.name());
        if (known != null && known.entry().revision().isAfter(entry.revision())) {
            logIgnored(entry, known, effects);
            return this;
        }
        logEntry(entry, effects);
        return with(entry.name(), known == null ? TrackedDatabase.of(entry, timing, now) : known.updated(entry, now));
    }

    private static void logIgnored(DatabaseEntry entry, TrackedDatabase known, List<FleetEffect> effects) {
        effects.add(new FleetEffect.Log(
                "database entry ignored",
                "database=" + entry.name() + " revision=" + entry.revision() + " sequence=" + entry.sequence()
                        + " known=" + known.entry().revision() + " knownSequence="
                        + known.entry().sequence()));
    }

    private static void logEntry(DatabaseEntry entry, List<FleetEffect> effects) {
        effects.add(new FleetEffect.Log(
                "database entry",
                "database=" + entry.name() + " group=" + entry.group() + " primary=" + entry.primary() + " draining="
                        + entry.draining() + " revision=" + entry.revision()));
    }

    /**
     * Adds the members of a group that have no entry, drops those of which only an earlier record was evidence, and
     * marks those that have restarted since they were recorded. A restart that this VM has seen is known already.
     */
    TrackedDatabases learnRecorded(GroupName group, GroupMembers members, Instant now, List<FleetEffect> effects) {
        Set<BackendServerName> names = members.byName().keySet();
        Map<BackendServerName, TrackedDatabase> next = new HashMap<>(byName);
        next.values()
                .removeIf(database -> database.isRecordedOnly()
                        && database.entry().group().equals(group)
                        && !names.contains(database.entry().name()));
        members.byName().forEach((name, member) -> {
            TrackedDatabase known = byName.get(name);
            if (known == null) {
                effects.add(new FleetEffect.Log(
                        "database known from the record of its group",
                        "database=" + name + " group=" + group + " address=" + member.address()));
                next.put(name, TrackedDatabase.recorded(member.toEntry(group), now));
            } else if (known.hasUnseenRestart(member)) {
                effects.add(new FleetEffect.Log(
                        "database restarted before this process started",
                        "database=" + name + " group=" + group + " recorded=" + member.startedAtMilliseconds()
                                + " startedAt=" + known.entry().startedAtMilliseconds()));
                next.put(name, known.withRestart(now));
            }
        });
        Map<GroupName, Set<BackendServerName>> nextRecorded = new HashMap<>(recorded);
        nextRecorded.put(group, names);
        return new TrackedDatabases(timing, next, claims, demotedRevisions, evacuations, nextRecorded);
    }

    private boolean isRecorded(DatabaseEntry entry) {
        return recorded.getOrDefault(entry.group(), Set.of()).contains(entry.name());
    }

    /**
     * Returns whether a database whose entry has been missing too long is to be dropped, or kept by its record only.
     */
    private boolean isOverdue(TrackedDatabase database, Instant now) {
        return database.isExpired(now) && !(database.isRecordedOnly() && isRecorded(database.entry()));
    }

    TrackedDatabases markMissing(BackendServerName database, Instant now, List<FleetEffect> effects) {
        TrackedDatabase known = byName.get(database);
        if (known == null) {
            return this;
        }
        effects.add(new FleetEffect.Log("database entry missing", "database=" + database));
        return with(database, known.markMissing(now));
    }

    TrackedDatabases addClaim(GroupName group, PrimaryClaim newer, List<FleetEffect> effects) {
        PrimaryClaim known = claims.get(group);
        if (known != null && known.term() >= newer.term()) {
            return this;
        }
        effects.add(new FleetEffect.Log(
                "primary learned", "group=" + group + " database=" + newer.database() + " term=" + newer.term()));
        Map<GroupName, PrimaryClaim> next = new HashMap<>(claims);
        next.put(group, newer);
        Map<BackendServerName, StoreRevision> remaining = new HashMap<>(demotedRevisions);
        remaining.remove(newer.database());
        return new TrackedDatabases(timing, byName, next, remaining, evacuations, recorded);
    }

    TrackedDatabases markDemoted(FleetEvent.WriteRefusedByReplica refused, List<FleetEffect> effects) {
        TrackedDatabase database = byName.get(refused.database());
        if (database == null) {
            return this;
        }
        StoreRevision revision = database.entry().revision();
        Map<BackendServerName, StoreRevision> next = new HashMap<>(demotedRevisions);
        StoreRevision previous = next.put(refused.database(), revision);
        if (!revision.equals(previous)) {
            effects.add(new FleetEffect.Log(
                    "write refused by replica",
                    "group=" + refused.group() + " database=" + refused.database() + " revision=" + revision));
        }
        return new TrackedDatabases(timing, byName, claims, next, evacuations, recorded);
    }

    TrackedDatabases with(TrackedEvacuations next) {
        return new TrackedDatabases(timing, byName, claims, demotedRevisions, next, recorded);
    }

    /** Returns the databases in evacuated failure domains. */
    Map<BackendServerName, DatabaseEntry> evacuated() {
        if (evacuations.phases().isEmpty()) {
            return Map.of();
        }
        Map<BackendServerName, DatabaseEntry> evacuated = new HashMap<>();
        byName.forEach((name, database) -> {
            if (evacuations.phases().containsKey(database.entry().failureDomain())) {
                evacuated.put(name, database.entry());
            }
        });
        return evacuated;
    }

    /** Returns where statements may run. */
    PlacementConstraints constraints() {
        Set<GroupName> closedGroups = new HashSet<>();
        presumedPrimaries().forEach((group, primary) -> {
            if (byName.get(primary).availability() == DatabaseAvailability.EVACUATED) {
                closedGroups.add(group);
            }
        });
        return new PlacementConstraints(evacuations.rules().regions(), evacuations.phases(), closedGroups);
    }

    /** Returns whether both states let the same databases be used, whenever the store confirmed them. */
    boolean hasSameUseAs(TrackedDatabases other) {
        return with(evacuations.withoutConfirmation()).equals(other.with(other.evacuations.withoutConfirmation()));
    }

    /** Returns the primaries of the groups that have a database in an evacuated failure domain. */
    private Map<GroupName, BackendServerName> presumedPrimaries() {
        Map<GroupName, BackendServerName> primaries = new HashMap<>();
        evacuated().values().stream()
                .map(DatabaseEntry::group)
                .distinct()
                .forEach(group -> directory(group, EnumSet.complementOf(EnumSet.of(DatabaseAvailability.GONE)))
                        .primary()
                        .ifPresent(primary -> primaries.put(group, primary.name())));
        return primaries;
    }

    /**
     * Recomputes the evacuations and the availability of each database, and drops databases whose entry has been
     * missing too long unless the record of their group names them.
     */
    TrackedDatabases refresh(Instant now, List<FleetEffect> effects) {
        TrackedEvacuations refreshed = evacuations.refresh(now, effects);
        TrackedDatabases current = refreshed.equals(evacuations) ? this : with(refreshed);
        return current.refreshAvailability(now, effects);
    }

    /** A primary in an evacuated failure domain serves until its replacement or until the failure domain is closed. */
    private boolean isOutOfUse(DatabaseEntry entry, Map<GroupName, BackendServerName> primaries) {
        EvacuationPhase phase = evacuations.phases().get(entry.failureDomain());
        boolean serves = phase == EvacuationPhase.REPLACING && entry.name().equals(primaries.get(entry.group()));
        return phase != null && !serves;
    }

    private TrackedDatabases refreshAvailability(Instant now, List<FleetEffect> effects) {
        Map<GroupName, BackendServerName> primaries = presumedPrimaries();
        if (byName.values().stream()
                .allMatch(database -> !isOverdue(database, now)
                        && database.hasCurrentAvailability(timing, isOutOfUse(database.entry(), primaries), now))) {
            return this;
        }
        Map<BackendServerName, TrackedDatabase> next = new HashMap<>();
        byName.forEach((name, database) -> {
            TrackedDatabase refreshed = database.refresh(timing, isOutOfUse(database.entry(), primaries), now);
            if (refreshed.availability() != database.availability()) {
                effects.add(new FleetEffect.Log(
                        "database standing changed",
                        "database=" + name + " standing=" + refreshed.availability() + " previous="
                                + database.availability() + " zone="
                                + database.entry().failureDomain() + " revision="
                                + database.entry().revision()));
            }
            if (!isOverdue(refreshed, now)) {
                next.put(name, refreshed);
            } else if (isRecorded(refreshed.entry())) {
                next.put(name, refreshed.withRecordOnly());
            }
        });
        return next.equals(byName) ? this : with(next);
    }

    private TrackedDatabases with(BackendServerName name, TrackedDatabase database) {
        Map<BackendServerName, TrackedDatabase> next = new HashMap<>(byName);
        next.put(name, database);
        return with(next);
    }

    private TrackedDatabases with(Map<BackendServerName, TrackedDatabase> next) {
        return new TrackedDatabases(timing, next, claims, demotedRevisions, evacuations, recorded);
    }
}
