package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.DatabaseHealth;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.promotion.PromotionReason;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.junit.jupiter.api.Test;

/** Guards against older configurations, statements to drained databases, and wrong primaries. */
class FleetState_on_Test {
    private static final GroupName GROUP = GroupName.of("entries");
    private static final BackendServerName PRIMARY = BackendServerName.of("db-1");
    private static final BackendServerName REPLICA = BackendServerName.of("db-2");
    private static final VmName PEER = VmName.of("vm-2");

    private static final FleetTiming TIMING = new FleetTiming(Duration.ofSeconds(7), Duration.ofSeconds(4));

    private Instant now = Instant.EPOCH;
    private FleetState state = FleetState.initial(VmName.of("vm-1"), TIMING);
    private List<FleetEffect> effects = List.of();

    @Test
    void should_never_go_back_to_an_older_configuration() {
        on(new FleetEvent.ConfigurationReceived(configuration(5)));
        on(new FleetEvent.ConfigurationReceived(configuration(4)));
        assertThat(state.configuration().version(), is(5L));
    }

    @Test
    void should_ask_another_vm_for_a_newer_configuration() {
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.PeerMessageReceived(message(7, Map.of(), Map.of())));
        assertThat(effects.stream().anyMatch(FleetEffect.FetchConfiguration.class::isInstance), is(true));
    }

    /** Guards against VMs that each use the whole rate limit after their keys expired in a store outage. */
    @Test
    void should_keep_a_reachable_peer_whose_key_expired_in_the_store() {
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        on(listed(Map.of()));
        assertThat(state.reachablePeers(now).size(), is(1));
        assertThat(state.peers().addresses().containsKey(PEER), is(true));
        advance(Duration.ofSeconds(2));
        on(listed(Map.of()));
        assertThat(state.peers().addresses().containsKey(PEER), is(false));
    }

    @Test
    void should_keep_expired_database_entries_during_the_grace_period() {
        learnBoth();
        on(new FleetEvent.DatabasesListed(Map.of()));
        assertThat(directory().databases().containsKey(REPLICA), is(true));
        advance(Duration.ofMillis(2600));
        assertThat(directory().databases().containsKey(REPLICA), is(false));
    }

    @Test
    void should_keep_a_primary_without_entry_longer_than_a_replica() {
        learnBoth();
        on(new FleetEvent.DatabaseEntryMissing(PRIMARY));
        advance(Duration.ofMillis(2600));
        assertThat(directory().primary().map(DatabaseEntry::name), is(Optional.of(PRIMARY)));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.of(PromotionReason.MISSING)));
    }

    @Test
    void should_stop_using_a_draining_primary_after_the_drain_grace_period() {
        learnBoth();
        on(new FleetEvent.DatabaseEntryChanged(entry(PRIMARY, true, true, 9)));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.of(PromotionReason.LEAVING)));
        advance(Duration.ofMillis(5600));
        assertThat(directory().primary(), is(Optional.empty()));
    }

    /** Guards against promotions that don't stop a drained database, which still confirms commits. */
    @Test
    void should_keep_a_drained_database_as_a_member_until_its_entry_expires() {
        learnBoth();
        on(new FleetEvent.DatabaseEntryChanged(entry(REPLICA, false, true, 9)));
        advance(Duration.ofMillis(5600));
        assertThat(directory().databases().containsKey(REPLICA), is(false));
        assertThat(state.members(GROUP).databases().containsKey(REPLICA), is(true));
        on(new FleetEvent.DatabaseEntryMissing(REPLICA));
        advance(Duration.ofMillis(2600));
        assertThat(state.members(GROUP).databases().containsKey(REPLICA), is(false));
        assertThat(state.suspected(GROUP).containsKey(REPLICA), is(true));
        advance(TrackedDatabase.SUSPICION_TIMEOUT);
        assertThat(state.suspected(GROUP).containsKey(REPLICA), is(false));
    }

    /** Guards against statements to a drained database that an earlier copy of the store shows as ready. */
    @Test
    void should_not_use_a_drained_database_again_when_the_store_is_restored() {
        learnBoth();
        on(new FleetEvent.DatabaseEntryChanged(entry(REPLICA, false, true, 7, new StoreRevision(1, 9))));
        advance(Duration.ofMillis(5600));
        on(new FleetEvent.DatabasesListed(Map.of(
                PRIMARY, entry(PRIMARY, true, false, 1, new StoreRevision(2, 5)),
                REPLICA, entry(REPLICA, false, false, 3, new StoreRevision(2, 6)))));
        assertThat(directory().databases().containsKey(REPLICA), is(false));
    }

    /** Guards against a database that stays out of use because only the time of its entry went back. */
    @Test
    void should_keep_using_a_database_whose_entry_in_the_copy_says_the_same() {
        learnBoth();
        on(new FleetEvent.DatabaseEntryChanged(entry(REPLICA, false, false, 7, new StoreRevision(1, 9))));
        on(new FleetEvent.DatabaseEntryMissing(REPLICA));
        on(new FleetEvent.DatabasesListed(Map.of(REPLICA, entry(REPLICA, false, false, 3, new StoreRevision(2, 6)))));
        advance(Duration.ofMillis(2600));
        assertThat(directory().databases().containsKey(REPLICA), is(true));
    }

    /** Guards against statements to a database whose drain notice ended while this process started. */
    @Test
    void should_use_a_database_that_drains_at_startup_for_half_of_the_grace_period() {
        on(new FleetEvent.DatabasesListed(Map.of(PRIMARY, entry(PRIMARY, true, true, 5))));
        assertThat(directory().primary().map(DatabaseEntry::name), is(Optional.of(PRIMARY)));
        advance(Duration.ofMillis(2800));
        assertThat(directory().primary(), is(Optional.empty()));
    }

    /** Guards against a promotion that only considers commits of this VM's own callers. */
    @Test
    void should_retain_the_newest_acknowledged_position_of_any_vm_for_a_limited_time() {
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(GROUP, LogPosition.of(3, 7)), Map.of()));
        assertThat(state.acknowledgedPosition(GROUP, now), is(Optional.of(LogPosition.of(3, 7))));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        assertThat(state.acknowledgedPosition(GROUP, now), is(Optional.of(LogPosition.of(3, 9))));
        now = now.plus(FleetState.ACKNOWLEDGED_POSITION_RETENTION);
        assertThat(state.acknowledgedPosition(GROUP, now), is(Optional.empty()));
    }

    /** Guards against traffic that grows with the square of the fleet size although nothing changes. */
    @Test
    void should_send_to_a_large_fleet_less_often_unless_a_database_fails() {
        listLargeFleet();
        assertThat(sendsToPeers(Map.of()), is(true));
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of()), is(false));
        DatabaseHealth failing = new DatabaseHealth(Optional.empty(), Optional.of(now), Optional.empty());
        assertThat(sendsToPeers(Map.of(PRIMARY, failing)), is(true));
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of()), is(true));
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of()), is(false));
        now = now.plus(TrackedPeers.MAXIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of()), is(true));
    }

    /** Guards against promotions without the observations of other VMs, and against sending these to all VMs. */
    @Test
    void should_report_failing_databases_only_to_the_lease_holder_and_the_candidates() {
        listLargeFleet();
        VmName holder = VmName.of("vm-20");
        on(new FleetEvent.PromotionLeaseMoved(Optional.of(holder)));
        on(new FleetEvent.TrafficReported(Map.of(PRIMARY, failing()), Map.of(), Map.of(), Map.of()));
        Map<VmName, PeerMessage> sent = sent();
        assertThat(sent.size(), is(33));
        assertThat(sent.get(holder).failingFor().containsKey(PRIMARY), is(true));
        long informed =
                sent.values().stream().filter(PeerMessage::reportsFailures).count();
        assertThat(informed, is(lessThanOrEqualTo(1L + PeerExchange.CANDIDATES)));
        now = now.plusMillis(100);
        on(new FleetEvent.TrafficReported(Map.of(PRIMARY, failing()), Map.of(), Map.of(), Map.of()));
        assertThat((long) sent().size(), is(informed));
    }

    /** Guards against a new lease holder that doesn't know which commits others acknowledged. */
    @Test
    void should_inform_a_new_lease_holder_at_once() {
        listLargeFleet();
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(GROUP, LogPosition.of(3, 7)), Map.of()));
        VmName holder = nonCandidate();
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        on(new FleetEvent.PromotionLeaseMoved(Optional.of(holder)));
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(GROUP, LogPosition.of(3, 7)), Map.of()));
        assertThat(sent().get(holder).acknowledged(), is(Map.of(GROUP, LogPosition.of(3, 7))));
    }

    /** Guards against VMs that learn of a new primary only from the store, or never because a datagram was lost. */
    @Test
    void should_repeat_a_new_claim_to_all_vms_and_then_stop() {
        listLargeFleet();
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()));
        VmName other = nonCandidate();
        on(new FleetEvent.PrimaryClaimed(GROUP, new PrimaryClaim(REPLICA, 4)));
        int repetitions = 0;
        for (int tick = 0; tick < 200; tick++) {
            now = now.plusMillis(100);
            on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()));
            PeerMessage message = sent().get(other);
            if (message != null && !message.claims().isEmpty()) {
                repetitions++;
            }
        }
        assertThat(repetitions, is(3));
    }

    private VmName nonCandidate() {
        return state.peers().addresses().keySet().stream()
                .filter(vm ->
                        !PeerExchange.candidates(state.self(), state.peers()).contains(vm))
                .findFirst()
                .orElseThrow();
    }

    private DatabaseHealth failing() {
        return new DatabaseHealth(Optional.empty(), Optional.of(now), Optional.empty());
    }

    private Map<VmName, PeerMessage> sent() {
        Map<VmName, PeerMessage> messages = new HashMap<>();
        for (FleetEffect effect : effects) {
            if (effect instanceof FleetEffect.SendToPeers send) {
                send.addresses().keySet().forEach(vm -> messages.put(vm, send.message()));
            }
        }
        return messages;
    }

    private void listLargeFleet() {
        Map<VmName, String> others = new HashMap<>();
        for (int vm = 2; vm <= 34; vm++) {
            others.put(VmName.of("vm-" + vm), "10.0.0." + vm + ":1");
        }
        on(listed(others));
    }

    @Test
    void should_send_to_a_small_fleet_at_the_minimum_interval() {
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        assertThat(sendsToPeers(Map.of()), is(true));
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of()), is(true));
    }

    private boolean sendsToPeers(Map<BackendServerName, DatabaseHealth> health) {
        on(new FleetEvent.TrafficReported(health, Map.of(), Map.of(), Map.of()));
        return effects.stream().anyMatch(FleetEffect.SendToPeers.class::isInstance);
    }

    /** Guards against two VMs that lend the same rate while one of them has lost the store. */
    @Test
    void should_be_no_member_when_the_registration_may_have_expired_while_a_peer_reaches_the_store() {
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.RegistrationConfirmed(now));
        now = now.plusMillis(4400);
        on(new FleetEvent.PeerMessageReceived(message(0, true)));
        assertThat(state.ownership().members(), is(Set.of(PEER, state.self())));
        now = now.plusMillis(200);
        on(new FleetEvent.PeerMessageReceived(message(0, true)));
        assertThat(state.ownership().members(), is(Set.of(PEER)));
        on(new FleetEvent.RegistrationConfirmed(now));
        assertThat(state.ownership().members(), is(Set.of(PEER, state.self())));
    }

    /** Guards against a handover of rates to a VM that lost the store, too. */
    @Test
    void should_not_count_peers_that_lost_the_store_when_it_has_lost_the_store_itself() {
        VmName other = VmName.of("vm-3");
        on(listed(Map.of(PEER, "10.0.0.2:1", other, "10.0.0.3:1")));
        on(new FleetEvent.PeerMessageReceived(message(0, false)));
        on(new FleetEvent.PeerMessageReceived(messageOf(other, Map.of())));
        assertThat(state.ownership().members(), is(Set.of(other)));
    }

    /** Guards against an owner that lends nothing, because it lost the store, while the others still ask it. */
    @Test
    void should_not_count_a_peer_as_a_member_whose_registration_expired_although_it_is_reachable() {
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.RegistrationConfirmed(now));
        on(new FleetEvent.PeerMessageReceived(message(0, false)));
        on(listed(Map.of()));
        assertThat(state.ownership().members(), is(Set.of(state.self())));
        assertThat(state.ownership().addresses().containsKey(PEER), is(true));
    }

    /** Guards against a restart of all VMs after which nobody lends for the time of a takeover. */
    @Test
    void should_resume_its_rates_only_if_it_was_a_member_before_it_registered() {
        Map<VmName, String> both = Map.of(PEER, "10.0.0.2:1", VmName.of("vm-1"), "10.0.0.1:1");
        FleetState fresh = state;
        on(listed(both));
        assertThat(state.ownership().resumed(), is(true));
        state = fresh;
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.RegistrationConfirmed(now));
        on(listed(both));
        assertThat(state.ownership().resumed(), is(false));
    }

    /** Guards against customers that are stopped by an outage of the store. */
    @Test
    void should_go_on_lending_when_no_vm_reaches_the_store() {
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.RegistrationConfirmed(now));
        now = now.plus(Duration.ofHours(1));
        on(new FleetEvent.PeerMessageReceived(message(0, false)));
        assertThat(state.ownership().members(), is(Set.of(PEER, state.self())));
        assertThat(fraction(), is(1.0));
    }

    /** Guards against lending the part of the rate that an unreachable VM uses on its own. */
    @Test
    void should_not_lend_the_part_of_an_unreachable_vm() {
        on(listed(Map.of(PEER, "10.0.0.2:1", VmName.of("vm-3"), "10.0.0.3:1")));
        on(new FleetEvent.RegistrationConfirmed(now));
        on(new FleetEvent.PeerMessageReceived(message(0, true)));
        assertThat(fraction(), is(closeTo(2 / 3.0, 0.001)));
    }

    /** Guards against rebuilding the traffic thread's view for each message of another VM. */
    @Test
    void should_publish_a_view_only_when_it_changed() {
        learnBoth();
        assertThat(effects.stream().anyMatch(FleetEffect.PublishView.class::isInstance), is(true));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        assertThat(effects.stream().anyMatch(FleetEffect.PublishView.class::isInstance), is(false));
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()));
        assertThat(effects.stream().anyMatch(FleetEffect.PublishView.class::isInstance), is(false));
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        assertThat(effects.stream().anyMatch(FleetEffect.PublishView.class::isInstance), is(true));
        on(new FleetEvent.PeerMessageReceived(message(0, true)));
        assertThat(effects.stream().anyMatch(FleetEffect.PublishOwnership.class::isInstance), is(true));
        assertThat(effects.stream().anyMatch(FleetEffect.PublishView.class::isInstance), is(false));
    }

    @Test
    void should_follow_a_claim_of_a_newer_term_before_the_entries_change() {
        learnBoth();
        on(new FleetEvent.PrimaryClaimed(GROUP, new PrimaryClaim(REPLICA, 4)));
        assertThat(directory().primary().map(DatabaseEntry::name), is(Optional.of(REPLICA)));
        on(new FleetEvent.PrimaryClaimed(GROUP, new PrimaryClaim(PRIMARY, 3)));
        assertThat(directory().primary().map(DatabaseEntry::name), is(Optional.of(REPLICA)));
    }

    @Test
    void should_not_send_writes_to_a_database_that_refused_as_a_replica() {
        learnBoth();
        on(new FleetEvent.WriteRefusedByReplica(GROUP, PRIMARY));
        assertThat(directory().primary(), is(Optional.empty()));
        on(new FleetEvent.DatabaseEntryChanged(entry(PRIMARY, true, false, 9)));
        assertThat(directory().primary().map(DatabaseEntry::name), is(Optional.of(PRIMARY)));
    }

    @Test
    void should_not_replace_a_primary_that_only_this_vm_cannot_reach() {
        learnBoth();
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        reportPrimaryFailing();
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.empty()));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(PRIMARY, Duration.ofMillis(400)), Map.of())));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.of(PromotionReason.FAILING)));
    }

    /** Guards against a lease holder that has no traffic to a group and never learns that its primary is dead. */
    @Test
    void should_replace_a_primary_of_a_large_fleet_when_most_of_its_watchers_see_it_fail() {
        learnBoth();
        listLargeFleet();
        List<VmName> watchers = state.watchersOf(GROUP).stream()
                .filter(vm -> !vm.equals(state.self()))
                .toList();
        for (VmName vm : state.peers().addresses().keySet()) {
            on(new FleetEvent.PeerMessageReceived(messageOf(vm, Map.of())));
        }
        on(new FleetEvent.PeerMessageReceived(messageOf(watchers.get(0), Map.of(PRIMARY, Duration.ofMillis(400)))));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.empty()));
        on(new FleetEvent.PeerMessageReceived(messageOf(watchers.get(1), Map.of(PRIMARY, Duration.ofMillis(400)))));
        assertThat(
                PrimaryReplacementPolicy.reason(state, GROUP, now),
                is(Optional.of(PromotionReason.FAILING_FOR_OTHERS)));
    }

    /** Guards against a draining primary that is waited for although it fails. */
    @Test
    void should_not_wait_for_a_draining_primary_that_fails() {
        learnBoth();
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.DatabaseEntryChanged(entry(PRIMARY, true, true, 9)));
        Instant since = now;
        now = now.plusMillis(900);
        DatabaseHealth health = new DatabaseHealth(Optional.of(now), Optional.empty(), Optional.of(since));
        on(new FleetEvent.TrafficReported(Map.of(PRIMARY, health), Map.of(), Map.of(), Map.of()));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of(PRIMARY, Duration.ofMillis(900)))));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.of(PromotionReason.LEFT)));
    }

    /** Guards against a primary that acknowledges commits while nobody tells it to step down. */
    @Test
    void should_presume_the_last_primary_when_no_database_with_an_entry_leads() {
        learnBoth();
        on(new FleetEvent.DatabaseEntryMissing(PRIMARY));
        advance(Duration.ofMillis(5100));
        assertThat(state.members(GROUP).primary(), is(Optional.empty()));
        assertThat(state.presumedPrimary(GROUP), is(Optional.of(PRIMARY)));
        assertThat(state.isUsed(PRIMARY), is(false));
    }

    @Test
    void should_replace_a_primary_that_acknowledges_no_commit() {
        learnBoth();
        on(listed(Map.of(PEER, "10.0.0.2:1")));
        Instant since = now;
        now = now.plusMillis(900);
        DatabaseHealth health = new DatabaseHealth(Optional.of(now), Optional.empty(), Optional.of(since));
        on(new FleetEvent.TrafficReported(Map.of(PRIMARY, health), Map.of(), Map.of(), Map.of()));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of(PRIMARY, Duration.ofMillis(900)))));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.of(PromotionReason.FAILING)));
    }

    @Test
    void should_treat_a_restarted_database_as_recently_restarted_until_it_caught_up() {
        learnBoth();
        DatabaseEntry restarted = new DatabaseEntry(
                REPLICA, GROUP, "10.0.0.1:1", FailureDomain.of("a"), 2, false, false, 2, 1, new StoreRevision(1, 9));
        on(new FleetEvent.DatabaseEntryChanged(restarted));
        assertThat(state.recentlyRestartedDatabases(now).contains(REPLICA), is(true));
        advance(Duration.ofMillis(4100));
        assertThat(state.recentlyRestartedDatabases(now).contains(REPLICA), is(false));
    }

    /** Guards against attempts with a term that the databases do not take, which leave a group without a primary. */
    @Test
    void should_count_the_term_that_a_database_reports_in_its_status() {
        on(new FleetEvent.TermReported(GROUP, 7));
        on(new FleetEvent.TermReported(GROUP, 6));
        assertThat(state.newestTerm(GROUP), is(7L));
    }

    private void reportPrimaryFailing() {
        Instant since = now;
        now = now.plusMillis(400);
        DatabaseHealth health = new DatabaseHealth(Optional.empty(), Optional.of(since), Optional.empty());
        on(new FleetEvent.TrafficReported(Map.of(PRIMARY, health), Map.of(), Map.of(), Map.of()));
    }

    private void learnBoth() {
        on(new FleetEvent.DatabasesListed(
                Map.of(PRIMARY, entry(PRIMARY, true, false, 1), REPLICA, entry(REPLICA, false, false, 2))));
    }

    private void advance(Duration duration) {
        now = now.plus(duration);
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()));
    }

    private void on(FleetEvent event) {
        Transition<FleetState, FleetEffect> transition = state.on(event, now);
        state = transition.state();
        effects = transition.effects();
    }

    private GroupDirectory directory() {
        return state.groups().getOrDefault(GROUP, GroupDirectory.EMPTY);
    }

    private static FleetEvent listed(Map<VmName, String> addresses) {
        return new FleetEvent.VmsListed(addresses, Map.of());
    }

    private double fraction() {
        return state.ownership().lendableFraction(state.ownership().holders(CustomerName.of("troupe"), 9));
    }

    private static PeerMessage messageOf(VmName vm, Map<BackendServerName, Duration> failing) {
        return new PeerMessage(vm, 0, true, failing, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    private static PeerMessage message(long version, boolean registered) {
        return new PeerMessage(PEER, version, registered, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    private static PeerMessage message(
            long version, Map<BackendServerName, Duration> failing, Map<BackendServerName, Duration> commits) {
        return new PeerMessage(
                PEER,
                version,
                false,
                failing,
                commits,
                Map.of(),
                Map.of(GROUP, LogPosition.of(3, 9)),
                Map.of(),
                Map.of());
    }

    private static ServiceConfiguration configuration(long version) {
        return ServiceConfiguration.of(version, Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));
    }

    private static DatabaseEntry entry(BackendServerName name, boolean primary, boolean draining, long revision) {
        return entry(name, primary, draining, 1, new StoreRevision(1, revision));
    }

    private static DatabaseEntry entry(
            BackendServerName name, boolean primary, boolean draining, long sequence, StoreRevision revision) {
        return new DatabaseEntry(
                name, GROUP, "10.0.0.1:1", FailureDomain.of("a"), 2, draining, primary, 1, sequence, revision);
    }
}
