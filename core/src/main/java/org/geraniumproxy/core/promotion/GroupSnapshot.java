package org.geraniumproxy.core.promotion;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;

/**
 * What the lease holder knows about a group at one time.
 *
 * @param databases databases that confirm commits, including drained ones
 * @param suspected databases whose entry expired but which may still run and confirm commits
 * @param primary primary as this VM knows it, also when its entry has expired
 * @param reason why the primary must be replaced, or empty if it stays
 * @param newestTerm newest term that any VM has seen
 * @param recentlyRestarted databases that may have lost confirmed commits in a recent restart
 * @param synchronousReplicas number of replicas that must receive a commit before it is acknowledged
 * @param acknowledged position that a log must reach to hold every commit that is known to be acknowledged
 * @param intent last recorded promotion intent
 * @param unfenced VMs in contact that have not confirmed that they enforce the intent
 * @param evacuated databases in evacuated failure domains, which must not be promoted
 * @param departed those of the suspected databases that are known only from the record of the group
 */
public record GroupSnapshot(
        Map<BackendServerName, DatabaseEntry> databases,
        Map<BackendServerName, DatabaseEntry> suspected,
        Optional<BackendServerName> primary,
        Optional<PromotionReason> reason,
        long newestTerm,
        Set<BackendServerName> recentlyRestarted,
        int synchronousReplicas,
        Optional<LogPosition> acknowledged,
        Optional<PromotionIntent> intent,
        Set<VmName> unfenced,
        Set<BackendServerName> evacuated,
        DepartedMembers departed) {
    /** Copies the collections. */
    public GroupSnapshot {
        databases = Map.copyOf(databases);
        suspected = Map.copyOf(suspected);
        recentlyRestarted = Set.copyOf(recentlyRestarted);
        unfenced = Set.copyOf(unfenced);
        evacuated = Set.copyOf(evacuated);
    }

    /**
     * Returns whether the primary is asked to step down before the replicas stop. One that was reported to fail is
     * asked first only if a replica without an entry may not answer: then the other replicas don't prove which commits
     * were confirmed, and the last position of the primary does.
     */
    boolean asksPrimaryFirst() {
        return primary.isPresent()
                && reason.filter(known -> switch (known) {
                            case LEAVING,
                                    LEFT,
                                    EVACUATING,
                                    EVACUATED,
                                    FAILING_FOR_OTHERS,
                                    MISSING,
                                    NONE_LEADS,
                                    UNSETTLED -> true;
                            case FAILING -> !suspected.isEmpty();
                        })
                        .isPresent();
    }

    /** Returns whether the primary gets statements until it is replaced. */
    boolean primaryServes() {
        return reason.equals(Optional.of(PromotionReason.LEAVING))
                || reason.equals(Optional.of(PromotionReason.EVACUATING));
    }

    /**
     * Returns whether the primary steps down only if another database can take over: callers of some VMs still get
     * answers from it, or it serves again when the evacuation ends.
     */
    boolean isReplacedOnlyByKnownSuccessor() {
        return reason.filter(known -> switch (known) {
                    case LEAVING, EVACUATING, EVACUATED, FAILING, FAILING_FOR_OTHERS -> true;
                    case LEFT, MISSING, NONE_LEADS, UNSETTLED -> false;
                })
                .isPresent();
    }

    /** Returns the newest evidence, with the primary and the reason for which an attempt replaces it. */
    GroupSnapshot refreshed(GroupSnapshot latest) {
        return new GroupSnapshot(
                latest.databases,
                latest.suspected,
                primary,
                reason,
                latest.newestTerm,
                latest.recentlyRestarted,
                latest.synchronousReplicas,
                latest.acknowledged,
                latest.intent,
                latest.unfenced,
                latest.evacuated,
                latest.departed);
    }

    /** Returns the state of a group whose supposed primary is a replica. */
    GroupSnapshot withoutPrimary() {
        return new GroupSnapshot(
                databases,
                suspected,
                Optional.empty(),
                Optional.of(PromotionReason.NONE_LEADS),
                newestTerm,
                recentlyRestarted,
                synchronousReplicas,
                acknowledged,
                intent,
                unfenced,
                evacuated,
                departed);
    }

    /** Returns the state of a group whose primary is replaced although it may serve. */
    GroupSnapshot withReason(PromotionReason newReason) {
        return new GroupSnapshot(
                databases,
                suspected,
                primary,
                Optional.of(newReason),
                newestTerm,
                recentlyRestarted,
                synchronousReplicas,
                acknowledged,
                intent,
                unfenced,
                evacuated,
                departed);
    }

    /** Returns the databases that a promotion stops: all that may confirm a commit, except the primary. */
    Set<BackendServerName> replicas() {
        Set<BackendServerName> replicas = new HashSet<>(databases.keySet());
        replicas.addAll(suspected.keySet());
        primary.ifPresent(replicas::remove);
        return replicas;
    }

    /** Returns each replica with its entry, its source and the position at which it stopped, for the log. */
    String describe(Map<BackendServerName, DatabaseStatus> stopped, Instant now) {
        return replicas().stream()
                        .sorted(Comparator.comparing(BackendServerName::value))
                        .map(replica -> replica + "=" + describe(replica, Optional.ofNullable(stopped.get(replica))))
                        .collect(Collectors.joining(" "))
                + " acknowledged="
                + acknowledged.map(PromotionChoice::text).orElse("none")
                + (departed.names().isEmpty() ? "" : " " + departed.describe(now));
    }

    private String describe(BackendServerName replica, Optional<DatabaseStatus> status) {
        String entry = suspected.containsKey(replica)
                ? departed.names().contains(replica) ? "recorded" : "expired"
                : databases.get(replica).draining() ? "draining" : "present";
        return "entry:" + entry + (recentlyRestarted.contains(replica) ? ",restarted" : "")
                + (evacuated.contains(replica) ? ",evacuated" : "") + ",stopped:"
                + status.map(DatabaseStatus::received)
                        .map(PromotionChoice::text)
                        .orElse("no");
    }

    /**
     * Returns whether a replica with this status may replace a primary that serves: it stays, has not lost commits in a
     * restart, and holds every commit that is known to be acknowledged.
     */
    boolean canTakeOver(BackendServerName replica, DatabaseStatus status) {
        DatabaseEntry entry = databases.get(replica);
        return entry != null
                && !entry.draining()
                && !status.primary()
                && !recentlyRestarted.contains(replica)
                && !evacuated.contains(replica)
                && acknowledged
                        .filter(_ -> synchronousReplicas > 0)
                        .map(position -> status.received().compareTo(position) >= 0)
                        .orElse(true);
    }
}
