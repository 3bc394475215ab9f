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
 * State of one VM's supervision of a group.
 *
 * @param group the group
 * @param self the supervising VM
 * @param rank 0 for the coordinator, 1 for the standby
 * @param detectionPolicy when a database counts as unreachable
 * @param databases state of each database, absent before the first status request
 * @param view replication state of the group; it keeps the primary during a promotion
 * @param unconfirmedSamples samples of the primary that a majority has not confirmed yet
 * @param highestTerm highest term reported by a database, found in the store, or used by this VM
 * @param promotion current step of this VM's promotion
 * @param promotionTrigger reason to promote, empty while there is none
 * @param lastPromotionAt time at which the current term was first seen
 * @param nextPromotionNotBefore earliest time of the next attempt after a failed promotion
 * @param listedAsLeaving backend servers marked as leaving by the platform
 */
public record GroupState(
        DatabaseGroup group,
        Vm self,
        int rank,
        DetectionPolicy detectionPolicy,
        Map<BackendServerName, DatabaseState> databases,
        GroupView view,
        List<PositionSample> unconfirmedSamples,
        Term highestTerm,
        Promotion promotion,
        Optional<PromotionTrigger> promotionTrigger,
        Optional<Instant> lastPromotionAt,
        Instant nextPromotionNotBefore,
        Set<BackendServerName> listedAsLeaving) {
    /** Makes the collections immutable. */
    public GroupState {
        databases = Map.copyOf(databases);
        unconfirmedSamples = List.copyOf(unconfirmedSamples);
        listedAsLeaving = Set.copyOf(listedAsLeaving);
    }

    /**
     * Returns the state before any database has reported.
     *
     * @param group the group
     * @param self the supervising VM; its index in the roster determines which terms it may use
     * @param rank 0 for the coordinator, 1 for the standby
     * @param detectionPolicy when a database counts as unreachable
     * @return the state
     */
    public static GroupState initial(DatabaseGroup group, Vm self, int rank, DetectionPolicy detectionPolicy) {
        return new GroupState(
                group,
                self,
                rank,
                detectionPolicy,
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
     * Returns the view for traffic. It has no primary while this VM runs a promotion, so that no new write starts.
     *
     * @return the view to publish
     */
    public GroupView publishedView() {
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

    Duration detectionTimeoutOf(BackendServerName name) {
        return detectionPolicy.timeout(database(name).replyIntervals());
    }

    boolean isReachable(BackendServerName name, Instant now) {
        return database(name).hasRepliedWithin(detectionTimeoutOf(name), now);
    }

    List<BackendServerName> databaseNames() {
        return group.backendServers().stream().map(BackendServer::name).toList();
    }

    List<BackendServerName> reachableDatabases(Instant now) {
        return databaseNames().stream().filter(name -> isReachable(name, now)).toList();
    }

    boolean isLeaving(BackendServerName name) {
        return listedAsLeaving.contains(name)
                || statusOf(name).map(BackendStatus::leaving).orElse(false);
    }

    GroupState withDatabase(BackendServerName name, DatabaseState database) {
        Map<BackendServerName, DatabaseState> changed = new HashMap<>(databases);
        changed.put(name, database);
        return copy(group, rank, changed, listedAsLeaving);
    }

    GroupState withGroup(DatabaseGroup newGroup) {
        Map<BackendServerName, DatabaseState> kept = new HashMap<>(databases);
        kept.keySet().removeIf(name -> newGroup.findBackendServer(name).isEmpty());
        return copy(newGroup, rank, kept, listedAsLeaving);
    }

    GroupState withRank(int newRank) {
        return copy(group, newRank, databases, listedAsLeaving);
    }

    GroupState withListedAsLeaving(Set<BackendServerName> leaving) {
        return copy(group, rank, databases, leaving);
    }

    GroupState withView(GroupView newView, List<PositionSample> unconfirmed, Optional<Instant> promotedAt) {
        return new GroupState(
                group,
                self,
                rank,
                detectionPolicy,
                databases,
                newView,
                unconfirmed,
                maximumTerm(newView.term()),
                promotion,
                promotionTrigger,
                promotedAt,
                nextPromotionNotBefore,
                listedAsLeaving);
    }

    GroupState withHighestTerm(Term term) {
        return withPromotion(promotion, maximumTerm(term), nextPromotionNotBefore);
    }

    GroupState withPromotion(Promotion newPromotion) {
        return withPromotion(newPromotion, highestTerm, nextPromotionNotBefore);
    }

    GroupState withPromotion(Promotion newPromotion, Term newHighestTerm, Instant newNotBefore) {
        return new GroupState(
                group,
                self,
                rank,
                detectionPolicy,
                databases,
                view,
                unconfirmedSamples,
                newHighestTerm,
                newPromotion,
                promotionTrigger,
                lastPromotionAt,
                newNotBefore,
                listedAsLeaving);
    }

    GroupState withPromotionTrigger(Optional<PromotionTrigger> newTrigger) {
        return new GroupState(
                group,
                self,
                rank,
                detectionPolicy,
                databases,
                view,
                unconfirmedSamples,
                highestTerm,
                promotion,
                newTrigger,
                lastPromotionAt,
                nextPromotionNotBefore,
                listedAsLeaving);
    }

    private Term maximumTerm(Term term) {
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
                detectionPolicy,
                newDatabases,
                view,
                unconfirmedSamples,
                highestTerm,
                promotion,
                promotionTrigger,
                lastPromotionAt,
                nextPromotionNotBefore,
                newLeaving);
    }
}
