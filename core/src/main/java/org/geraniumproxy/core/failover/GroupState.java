package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.membership.Vm;

/**
 * State of the supervision of one group by one VM.
 *
 * @param group the group
 * @param self the supervising VM
 * @param rank 0 for the coordinator, 1 for the standby
 * @param policy how long a database may be silent
 * @param databases what is known about each database
 * @param view what traffic may know, with the primary also while a promotion is going on
 * @param unconfirmedSamples samples of the primary that no majority has confirmed yet
 * @param highestTerm highest term that was reported, recorded in the store, or attempted by this VM
 * @param promotion step of the promotion by this VM
 * @param suspicion the present cause for a promotion
 * @param lastPromotionAt moment at which the present term was first seen
 * @param notBefore moment before which no promotion is tried after a failed one
 * @param listedLeaving backend servers that the platform's list marks as leaving
 */
public record GroupState(
        DatabaseGroup group,
        Vm self,
        int rank,
        DetectionPolicy policy,
        Map<BackendServerName, DatabaseState> databases,
        GroupView view,
        List<PositionSample> unconfirmedSamples,
        Term highestTerm,
        Promotion promotion,
        Optional<Suspicion> suspicion,
        Optional<Instant> lastPromotionAt,
        Instant notBefore,
        Set<BackendServerName> listedLeaving) {
    /** Copies the collections. */
    public GroupState {
        databases = Map.copyOf(databases);
        unconfirmedSamples = List.copyOf(unconfirmedSamples);
        listedLeaving = Set.copyOf(listedLeaving);
    }

    /**
     * Returns the state before the first report.
     *
     * @param group the group
     * @param self the supervising VM, with its index in the roster
     * @param rank 0 for the coordinator, 1 for the standby
     * @param policy how long a database may be silent
     * @return the state
     */
    public static GroupState initial(DatabaseGroup group, Vm self, int rank, DetectionPolicy policy) {
        return new GroupState(
                group,
                self,
                rank,
                policy,
                Map.of(),
                GroupView.unknown(group.name()),
                List.of(),
                Term.NONE,
                new Promotion.Idle(),
                Optional.empty(),
                Optional.empty(),
                Instant.MIN,
                Set.of());
    }

    /**
     * Returns the view to publish: while this VM promotes, the group has no primary, so that no new write starts.
     *
     * @return the view
     */
    public GroupView visibleView() {
        if (promotion instanceof Promotion.Idle || view.primary().isEmpty()) {
            return view;
        }
        return new GroupView(
                view.group(), view.term(), Optional.empty(), view.statuses(), view.samples(), view.termStarts());
    }

    DatabaseState database(BackendServerName name) {
        return databases.getOrDefault(name, DatabaseState.UNKNOWN);
    }

    Optional<BackendStatus> statusOf(BackendServerName name) {
        return database(name).status();
    }

    Duration timeoutOf(BackendServerName name) {
        return policy.timeout(database(name).intervals());
    }

    boolean isReachable(BackendServerName name, Instant now) {
        return database(name).isHeardWithin(timeoutOf(name), now);
    }

    List<BackendServerName> names() {
        return group.backendServers().stream().map(BackendServer::name).toList();
    }

    List<BackendServerName> reachable(Instant now) {
        return names().stream().filter(name -> isReachable(name, now)).toList();
    }

    boolean isLeaving(BackendServerName name) {
        return listedLeaving.contains(name)
                || statusOf(name).map(BackendStatus::leaving).orElse(false);
    }

    GroupState withDatabase(BackendServerName name, DatabaseState database) {
        Map<BackendServerName, DatabaseState> changed = new HashMap<>(databases);
        changed.put(name, database);
        return copy(group, rank, changed, listedLeaving);
    }

    GroupState withGroup(DatabaseGroup newGroup) {
        Map<BackendServerName, DatabaseState> kept = new HashMap<>(databases);
        kept.keySet().removeIf(name -> newGroup.find(name).isEmpty());
        return copy(newGroup, rank, kept, listedLeaving);
    }

    GroupState withRank(int newRank) {
        return copy(group, newRank, databases, listedLeaving);
    }

    GroupState withListedLeaving(Set<BackendServerName> leaving) {
        return copy(group, rank, databases, leaving);
    }

    GroupState withView(GroupView newView, List<PositionSample> unconfirmed, Optional<Instant> promotedAt) {
        return new GroupState(
                group,
                self,
                rank,
                policy,
                databases,
                newView,
                unconfirmed,
                highest(newView.term()),
                promotion,
                suspicion,
                promotedAt,
                notBefore,
                listedLeaving);
    }

    GroupState withHighestTerm(Term term) {
        return withPromotion(promotion, highest(term), notBefore);
    }

    GroupState withPromotion(Promotion newPromotion) {
        return withPromotion(newPromotion, highestTerm, notBefore);
    }

    GroupState withPromotion(Promotion newPromotion, Term newHighestTerm, Instant newNotBefore) {
        return new GroupState(
                group,
                self,
                rank,
                policy,
                databases,
                view,
                unconfirmedSamples,
                newHighestTerm,
                newPromotion,
                suspicion,
                lastPromotionAt,
                newNotBefore,
                listedLeaving);
    }

    GroupState withSuspicion(Optional<Suspicion> newSuspicion) {
        return new GroupState(
                group,
                self,
                rank,
                policy,
                databases,
                view,
                unconfirmedSamples,
                highestTerm,
                promotion,
                newSuspicion,
                lastPromotionAt,
                notBefore,
                listedLeaving);
    }

    private Term highest(Term term) {
        return term.isAfter(highestTerm) ? term : highestTerm;
    }

    private GroupState copy(
            DatabaseGroup newGroup,
            int newRank,
            Map<BackendServerName, DatabaseState> newDatabases,
            Set<BackendServerName> newLeaving) {
        return new GroupState(
                newGroup,
                self,
                newRank,
                policy,
                newDatabases,
                view,
                unconfirmedSamples,
                highestTerm,
                promotion,
                suspicion,
                lastPromotionAt,
                notBefore,
                newLeaving);
    }
}
