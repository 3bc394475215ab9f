package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.caller.CallerDrain;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseAvailability;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.promotion.PromotionIntent;
import org.geraniumproxy.core.service.ServiceConfiguration;

/**
 * What this VM knows about the configuration, the databases and the other VMs. The configuration version never
 * decreases while the process runs.
 *
 * @param self name of this VM
 * @param configuration newest known configuration
 * @param databases known databases and primaries
 * @param peers addresses and last messages of the other VMs
 * @param acknowledged last position of each group that any VM acknowledged to its callers
 * @param lastReport last report of the traffic thread
 * @param exchange last messages to the other VMs
 * @param ownership last published owners of the customers' rates
 * @param drain times by which sessions must have ended because this VM stops, or empty while it doesn't stop
 * @param promotions promotion intents of the groups
 */
public record FleetState(
        VmName self,
        ServiceConfiguration configuration,
        TrackedDatabases databases,
        TrackedPeers peers,
        Map<GroupName, AcknowledgedPosition> acknowledged,
        FleetEvent.TrafficReported lastReport,
        PeerExchange exchange,
        RateOwnership ownership,
        Optional<CallerDrain> drain,
        TrackedPromotions promotions) {
    /**
     * Time for which a promotion requires a database that holds the last acknowledged commits. A crashed primary
     * usually returns with its log within seconds; after this time the group continues without it.
     */
    static final Duration ACKNOWLEDGED_POSITION_RETENTION = Duration.ofSeconds(60);

    /** Copies the positions. */
    public FleetState {
        acknowledged = Map.copyOf(acknowledged);
    }

    /**
     * Returns the state at process start.
     *
     * @param self name of this VM
     * @param timing drain notice and catch-up time of the deployment
     * @return a state without configuration, databases and peers
     */
    public static FleetState initial(VmName self, FleetTiming timing) {
        return initial(self, timing, EvacuationRules.NONE);
    }

    /**
     * Returns the state at process start in a deployment whose failure domains may be evacuated.
     *
     * @param self name of this VM
     * @param timing drain notice and catch-up time of the deployment
     * @param rules failure domains of the deployment and the time limit of their evacuation
     * @return a state without configuration, databases and peers
     */
    public static FleetState initial(VmName self, FleetTiming timing, EvacuationRules rules) {
        return new FleetState(
                self,
                ServiceConfiguration.NONE,
                TrackedDatabases.empty(timing, rules),
                TrackedPeers.EMPTY,
                Map.of(),
                new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()),
                PeerExchange.initial(self),
                RateOwnership.alone(self),
                Optional.empty(),
                TrackedPromotions.NONE);
    }

    /**
     * Applies an event.
     *
     * @param event input of the control thread
     * @param now current time
     * @return next state and its effects
     */
    public Transition<FleetState, FleetEffect> on(FleetEvent event, Instant now) {
        return on(List.of(event), now);
    }

    /**
     * Applies events that have arrived since the last call. The databases and the promotions are refreshed after each
     * event, because an event may show what a later one hides. View, owners and messages follow from the last state, so
     * they are computed once.
     *
     * @param events inputs of the control thread, in order of arrival
     * @param now current time
     * @return next state and its effects
     */
    public Transition<FleetState, FleetEffect> on(List<FleetEvent> events, Instant now) {
        List<FleetEffect> effects = new ArrayList<>();
        FleetState next = this;
        boolean reported = false;
        for (FleetEvent event : events) {
            next = next.applyAndRefresh(event, now, effects);
            reported |= event instanceof FleetEvent.TrafficReported;
        }
        ConfigurationFetch fetch = next.exchange.fetch().sendIfDue(next.fetchSituation(now), effects);
        next = next.with(next.exchange.with(fetch));
        RateOwnership owners = ownership;
        if (!next.peers.areOwnersCurrent(now)) {
            owners = next.peers.ownership(self, now);
            next = next.with(next.peers.withOwnersComputed(now));
        }
        if (!next.hasSameViewAs(this)) {
            effects.add(new FleetEffect.PublishView(next.view(), owners));
        } else if (!owners.equals(ownership)) {
            effects.add(new FleetEffect.PublishOwnership(owners));
        }
        next = next.with(owners);
        if (!next.enforcements(now).equals(enforcements(now))) {
            effects.add(new FleetEffect.EvaluatePromotions());
        }
        if (reported || !next.notices(now).equals(notices(now))) {
            next = next.with(next.exchange.send(next.createMessage(now), next.peers, now, effects));
        }
        return Transition.to(next, effects);
    }

    private FleetState applyAndRefresh(FleetEvent event, Instant now, List<FleetEffect> effects) {
        FleetState applied = apply(event, now, effects);
        applied.logAcknowledgedAtClaims(databases.claims(), now, effects);
        return applied.with(applied.databases.refresh(now, effects)).refreshPromotions(now, effects);
    }

    /**
     * Returns the databases that may get statements.
     *
     * @return directories by group, without groups that have no such database
     */
    public Map<GroupName, GroupDirectory> groups() {
        return databases.directories(Set.of(DatabaseAvailability.USED));
    }

    /**
     * Returns the databases that have an entry, as {@link #members(GroupName)} does for one group.
     *
     * @return directories by group, without groups that have no such database
     */
    public Map<GroupName, GroupDirectory> members() {
        return databases.directories(EnumSet.complementOf(EnumSet.of(DatabaseAvailability.GONE)));
    }

    /**
     * Returns the databases of a group that have an entry. A drained database gets no statements, but confirms commits
     * until it stops, and so does an evacuated one.
     *
     * @param group name of the group
     * @return its directory, empty if no database of the group is known
     */
    public GroupDirectory members(GroupName group) {
        return databases.directory(group, EnumSet.complementOf(EnumSet.of(DatabaseAvailability.GONE)));
    }

    /**
     * Returns the databases of a group whose entry expired although they may still be running.
     *
     * @param group name of the group
     * @return last entries by database name
     */
    public Map<BackendServerName, DatabaseEntry> suspected(GroupName group) {
        return databases.directory(group, Set.of(DatabaseAvailability.GONE)).databases();
    }

    /**
     * Returns the primary of a group. If none has an entry, this is the last one, which may still lead.
     *
     * @param group name of the group
     * @return name of the primary, or empty if none is known
     */
    public Optional<BackendServerName> presumedPrimary(GroupName group) {
        return members(group)
                .primary()
                .or(() -> databases
                        .directory(group, EnumSet.allOf(DatabaseAvailability.class))
                        .primary())
                .map(DatabaseEntry::name);
    }

    /**
     * Returns whether a database gets statements.
     *
     * @param database name of the database
     * @return false if its notice is over, if its entry has been missing too long or if it is unknown
     */
    public boolean isUsed(BackendServerName database) {
        TrackedDatabase known = databases.byName().get(database);
        return known != null && known.availability() == DatabaseAvailability.USED;
    }

    /**
     * Returns the databases of a group in evacuated failure domains.
     *
     * @param group name of the group
     * @return names of databases, also of those whose entry expired
     */
    public Set<BackendServerName> evacuated(GroupName group) {
        return databases.evacuated().values().stream()
                .filter(entry -> entry.group().equals(group))
                .map(DatabaseEntry::name)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the VMs that probe the primary of a group.
     *
     * @param group name of the group
     * @return names of VMs, possibly this one
     */
    public Set<VmName> watchersOf(GroupName group) {
        return watchers().watchersOf(group);
    }

    /**
     * Returns the peers whose last message is recent enough.
     *
     * @param now current time
     * @return names of the reachable peers
     */
    public Set<VmName> reachablePeers(Instant now) {
        return peers.reachable(now).stream()
                .map(peer -> peer.message().sender())
                .collect(Collectors.toSet());
    }

    /**
     * Returns the reachable peers for which a database has been failing.
     *
     * @param database name of the database
     * @param minimumFailure time without any answer from which a peer counts
     * @param minimumCommitFailure time without an acknowledged commit from which a peer counts
     * @param now current time
     * @return names of the peers that meet either bound
     */
    public Set<VmName> peersSeeingFailure(
            BackendServerName database, Duration minimumFailure, Duration minimumCommitFailure, Instant now) {
        return peers.reachable(now).stream()
                .map(TimestampedPeerMessage::message)
                .filter(message -> isAtLeast(message.failingFor().get(database), minimumFailure)
                        || isAtLeast(message.commitsFailingFor().get(database), minimumCommitFailure))
                .map(PeerMessage::sender)
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether this VM may take the promotion lease as soon as it has no holder. The candidates know the state
     * of the groups that all VMs have seen; the others take the lease only if no candidate does.
     *
     * @return true if it is a candidate
     */
    public boolean isPromotionCandidate() {
        return PeerExchange.candidates(self, peers).contains(self);
    }

    /**
     * Returns the newest term of a group that any VM has seen.
     *
     * @param group name of the group
     * @return term, zero if none was seen
     */
    public long newestTerm(GroupName group) {
        long newest = Math.max(
                lastReport.newestTerms().getOrDefault(group, 0L),
                promotions.reportedTerms().getOrDefault(group, 0L));
        PrimaryClaim claim = databases.claims().get(group);
        if (claim != null) {
            newest = Math.max(newest, claim.term());
        }
        long newestOfPeers = peers.lastMessages()
                .values()
                .mapToLong(peer -> peer.message().newestTerms().getOrDefault(group, 0L))
                .max()
                .orElse(0);
        return Math.max(newest, newestOfPeers);
    }

    /**
     * Returns the position that a log must reach to hold every acknowledged commit that any VM knows of.
     *
     * @param group name of the group
     * @param now current time
     * @return position, or empty if none has advanced within the last 60 s
     */
    public Optional<LogPosition> acknowledgedPosition(GroupName group, Instant now) {
        return Optional.ofNullable(acknowledged.get(group))
                .filter(known ->
                        Duration.between(known.advancedAt(), now).compareTo(ACKNOWLEDGED_POSITION_RETENTION) < 0)
                .map(AcknowledgedPosition::position);
    }

    /**
     * Returns the databases that restarted so recently that they may lack commits that they had confirmed.
     *
     * @param now current time
     * @return database names
     */
    public Set<BackendServerName> recentlyRestartedDatabases(Instant now) {
        return databases.recentlyRestarted(now);
    }

    /**
     * Returns how long the entry of a database has been missing in the store.
     *
     * @param database name of the database
     * @param now current time
     * @return time, zero if the entry exists or the database is unknown
     */
    public Duration missingDuration(BackendServerName database, Instant now) {
        return databases.missingDuration(database, now);
    }

    private FleetState apply(FleetEvent event, Instant now, List<FleetEffect> effects) {
        return switch (event) {
            case FleetEvent.ConfigurationReceived update -> updateConfiguration(update.configuration(), effects);
            case FleetEvent.DatabasesListed update -> with(databases.replaceEntries(update.entries(), now, effects));
            case FleetEvent.DatabaseEntryChanged changed -> with(databases.updateEntry(changed.entry(), now, effects));
            case FleetEvent.MembersRecorded recorded ->
                with(databases.learnRecorded(recorded.group(), recorded.members(), now, effects));
            case FleetEvent.DatabaseEntryMissing missing ->
                with(databases.markMissing(missing.database(), now, effects));
            case FleetEvent.EvacuationsListed listed ->
                with(databases.with(databases.evacuations().listed(listed, now, effects)));
            case FleetEvent.EvacuationsChanged changed ->
                with(databases.with(databases.evacuations().changed(changed.changes(), now, effects)));
            case FleetEvent.StoreAnswered _ ->
                with(databases.with(databases.evacuations().answered(now)));
            case FleetEvent.VmsListed update -> with(peers.update(update, self, now));
            case FleetEvent.RegistrationConfirmed confirmed -> with(peers.confirmRegistration(confirmed.sentAt(), now));
            case FleetEvent.ConfigurationFetchEnded ended ->
                with(exchange.with(exchange.fetch().ended(ended.vm(), fetchSituation(now))));
            case FleetEvent.PeerMessageReceived received -> receive(received.message(), now, effects);
            case FleetEvent.TrafficReported reported -> with(reported).withAcknowledged(reported.acknowledged(), now);
            case FleetEvent.PromotionLeaseMoved moved -> with(exchange.withLeaseHolder(moved.holder()));
            case FleetEvent.WriteRefusedByReplica refused -> with(databases.markDemoted(refused, effects));
            case FleetEvent.PrimaryClaimed claimed ->
                with(databases.addClaim(claimed.group(), claimed.claim(), effects));
            case FleetEvent.StopSignalled signalled ->
                new FleetState(
                        self,
                        configuration,
                        databases,
                        peers,
                        acknowledged,
                        lastReport,
                        exchange,
                        ownership,
                        Optional.of(signalled.drain()),
                        promotions);
            case FleetEvent.TermReported reported -> with(promotions.reported(reported.group(), reported.term()));
            case FleetEvent.PromotionIntentLearned learned ->
                with(promotions.learn(learned.group(), learned.intent(), learned.revision()));
        };
    }

    /**
     * Logs the acknowledged position that this VM knows of when it learns of a primary. If the promoted log ends before
     * it, the promotion may have lost a commit.
     */
    private void logAcknowledgedAtClaims(
            Map<GroupName, PrimaryClaim> previous, Instant now, List<FleetEffect> effects) {
        if (databases.claims() == previous) {
            return;
        }
        databases.claims().forEach((group, claim) -> {
            if (!claim.equals(previous.get(group))) {
                effects.add(new FleetEffect.Log(
                        "position acknowledged before the primary was learned",
                        "group=" + group + " term=" + claim.term() + " acknowledged="
                                + acknowledgedPosition(group, now)
                                        .map(LogPosition::toString)
                                        .orElse("none")));
            }
        });
    }

    private FleetState updateConfiguration(ServiceConfiguration newest, List<FleetEffect> effects) {
        if (newest.version() < configuration.version() || newest.equals(configuration)) {
            return this;
        }
        effects.add(new FleetEffect.Log(
                "configuration in force", "version=" + newest.version() + " previous=" + configuration.version()));
        databases.evacuations().rules().logUnknownRegions(newest, effects);
        return new FleetState(
                self, newest, databases, peers, acknowledged, lastReport, exchange, ownership, drain, promotions);
    }

    private FleetState receive(PeerMessage message, Instant now, List<FleetEffect> effects) {
        ConfigurationFetch fetch = peers.addresses().containsKey(message.sender())
                ? exchange.fetch().versionNamed(message.configurationVersion(), fetchSituation(now))
                : exchange.fetch();
        TrackedDatabases updated = message.evacuations()
                .map(notice -> databases.with(databases.evacuations().learn(notice, now, effects)))
                .orElse(databases);
        for (Map.Entry<GroupName, PrimaryClaim> claim : message.claims().entrySet()) {
            updated = updated.addClaim(claim.getKey(), claim.getValue(), effects);
        }
        TrackedPromotions learned = promotions;
        for (Map.Entry<GroupName, PromotionNotice> entry : message.promotions().entrySet()) {
            PromotionNotice notice = entry.getValue();
            learned = learned.learn(entry.getKey(), notice.intent().learnedAt(now), notice.revision());
        }
        return with(peers.receive(message, now))
                .with(updated)
                .with(learned)
                .with(exchange.with(fetch))
                .withAcknowledged(message.acknowledged(), now);
    }

    private ConfigurationFetch.Situation fetchSituation(Instant now) {
        return new ConfigurationFetch.Situation(self, configuration.version(), peers, now);
    }

    private FleetState withAcknowledged(Map<GroupName, LogPosition> positions, Instant now) {
        boolean unchanged = positions.entrySet().stream().allMatch(entry -> {
            AcknowledgedPosition known = acknowledged.get(entry.getKey());
            return known != null && known.position().compareTo(entry.getValue()) >= 0;
        });
        if (unchanged) {
            return this;
        }
        Map<GroupName, AcknowledgedPosition> next = new HashMap<>(acknowledged);
        positions.forEach((group, position) ->
                next.merge(group, new AcknowledgedPosition(position, now), AcknowledgedPosition::laterOf));
        return new FleetState(
                self, configuration, databases, peers, next, lastReport, exchange, ownership, drain, promotions);
    }

    private FleetState with(FleetEvent.TrafficReported next) {
        return new FleetState(
                self, configuration, databases, peers, acknowledged, next, exchange, ownership, drain, promotions);
    }

    private FleetState with(RateOwnership next) {
        return new FleetState(
                self, configuration, databases, peers, acknowledged, lastReport, exchange, next, drain, promotions);
    }

    private FleetState with(TrackedDatabases next) {
        return new FleetState(
                self, configuration, next, peers, acknowledged, lastReport, exchange, ownership, drain, promotions);
    }

    private FleetState with(TrackedPeers next) {
        return new FleetState(
                self, configuration, databases, next, acknowledged, lastReport, exchange, ownership, drain, promotions);
    }

    private FleetState refreshPromotions(Instant now, List<FleetEffect> effects) {
        return with(promotions.refresh(this::members, now, effects));
    }

    private FleetState with(TrackedPromotions next) {
        return new FleetState(
                self, configuration, databases, peers, acknowledged, lastReport, exchange, ownership, drain, next);
    }

    private FleetState with(PeerExchange next) {
        return new FleetState(
                self, configuration, databases, peers, acknowledged, lastReport, next, ownership, drain, promotions);
    }

    /**
     * Returns whether both states have the same view. Messages and reports arrive far more often than the view changes.
     */
    private boolean hasSameViewAs(FleetState other) {
        return configuration.equals(other.configuration)
                && databases.hasSameUseAs(other.databases)
                && peers.addresses().equals(other.peers.addresses())
                && peers.regions().equals(other.peers.regions())
                && peers.failureDomains().equals(other.peers.failureDomains())
                && promotions.fences().equals(other.promotions.fences())
                && drain.equals(other.drain);
    }

    private TrafficView view() {
        Set<GroupName> names = configuration.groups().keySet();
        GroupWatchers watchers = watchers();
        return new TrafficView(
                configuration,
                groups(),
                databases.unavailable(),
                drain,
                peers.addresses().size() + 1,
                watchers.watchedBySelf(names),
                watchers.sources(names),
                promotions.fences(),
                peers.locations(),
                databases.constraints());
    }

    private GroupWatchers watchers() {
        return GroupWatchers.of(self, peers, configuration.groups().size());
    }

    private PeerMessage createMessage(Instant now) {
        Map<BackendServerName, Duration> failing = new HashMap<>();
        Map<BackendServerName, Duration> commitsFailing = new HashMap<>();
        lastReport.health().forEach((database, health) -> {
            health.failingSince().ifPresent(since -> failing.put(database, Duration.between(since, now)));
            health.commitsFailingSince().ifPresent(since -> commitsFailing.put(database, Duration.between(since, now)));
        });
        Map<GroupName, LogPosition> positions = new HashMap<>();
        acknowledged.forEach((group, known) -> positions.put(group, known.position()));
        return new PeerMessage(
                self,
                configuration.version(),
                peers.isRegistered(now),
                failing,
                commitsFailing,
                lastReport.newestTerms(),
                positions,
                databases.claims(),
                notices(now),
                databases.evacuations().notice(now));
    }

    private Map<GroupName, PromotionNotice> notices(Instant now) {
        return promotions.notices(lastReport.enforced(), now);
    }

    /** Returns the VMs in contact that enforce an open promotion, by promotion. */
    private Map<String, Set<VmName>> enforcements(Instant now) {
        Map<String, Set<VmName>> enforcements = new HashMap<>();
        promotions
                .fences()
                .forEach((group, fences) -> fences.newest()
                        .filter(_ -> fences.isOpen())
                        .ifPresent(fence ->
                                enforcements.put(fence.promotion(), enforcing(group, fence.promotion(), now))));
        return enforcements;
    }

    private Set<VmName> enforcing(GroupName group, String promotion, Instant now) {
        Set<VmName> enforcing = peers.enforcing(group, promotion, now);
        if (promotion.equals(lastReport.enforced().get(group))) {
            enforcing.add(self);
        }
        return enforcing;
    }

    /**
     * Returns a promotion intent with what this VM knows of its effect.
     *
     * @param group group of the intent
     * @param intent intent as it stands in the store
     * @return the intent, as taken if its target was seen to lead by it
     */
    public PromotionIntent withEffect(GroupName group, PromotionIntent intent) {
        return promotions.isInEffect(group, intent) ? intent.taken() : intent;
    }

    /**
     * Returns the VMs in contact, this one included, that have not confirmed that they enforce a promotion.
     *
     * @param group group of the promotion
     * @param promotion identifies the promotion
     * @param now current time
     * @return names of VMs that may tell callers of commits that the promotion does not cover
     */
    public Set<VmName> unfenced(GroupName group, String promotion, Instant now) {
        Set<VmName> unfenced = new HashSet<>(reachablePeers(now));
        unfenced.add(self);
        unfenced.removeAll(enforcing(group, promotion, now));
        return unfenced;
    }

    private static boolean isAtLeast(Duration duration, Duration minimum) {
        return duration != null && duration.compareTo(minimum) >= 0;
    }
}
