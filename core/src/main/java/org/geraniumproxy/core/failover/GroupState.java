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
 * @param detectionPolicy how long a database may be silent
 * @param databases what is known about each database
 * @param view what traffic may know, with the primary also while a promotion is going on
 * @param unconfirmedSamples samples of the primary that no majority has confirmed yet
 * @param highestTerm highest term that was reported, recorded in the store, or attempted by this VM
 * @param promotion step of the promotion by this VM
 * @param promotionTrigger the present cause for a promotion
 * @param lastPromotionAt moment at which the present term was first seen
 * @param nextPromotionNotBefore moment before which no promotion is tried after a failed one
 * @param listedAsLeaving backend servers that the platform's list marks as leaving
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
    /** Copies the collections. */
    public GroupState {
        databases = Map.copyOf(databases);
        unconfirmedSamples = List.copyOf(unconfirmedSamples);
        listedAsLeaving = Set.copyOf(listedAsLeaving);
    }

    /**
     * Returns the state before the first report.
     *
     * @param group the group
     * @param self the supervising VM, with its index in the roster
     * @param rank 0 for the coordinator, 1 for the standby
     * @param detectionPolicy how long a database may be silent
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
     * Returns the view to publish: while this VM promotes, the group has no primary, so that no new write starts.
     *
     * @return the view
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
