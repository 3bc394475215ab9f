package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
        on(new FleetEvent.VmsListed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.PeerMessageReceived(message(7, Map.of(), Map.of())));
        assertThat(effects.stream().anyMatch(FleetEffect.FetchConfiguration.class::isInstance), is(true));
    }

    /** Guards against VMs that each use the whole rate limit after their keys expired in a store outage. */
    @Test
    void should_keep_a_reachable_peer_whose_key_expired_in_the_store() {
        on(new FleetEvent.VmsListed(Map.of(PEER, "10.0.0.2:1")));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        on(new FleetEvent.VmsListed(Map.of()));
        assertThat(state.countReachablePeers(now), is(1));
        assertThat(state.peers().addresses().containsKey(PEER), is(true));
        advance(Duration.ofSeconds(2));
        on(new FleetEvent.VmsListed(Map.of()));
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
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of(GROUP, LogPosition.of(3, 7))));
        assertThat(state.acknowledgedPosition(GROUP, now), is(Optional.of(LogPosition.of(3, 7))));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        assertThat(state.acknowledgedPosition(GROUP, now), is(Optional.of(LogPosition.of(3, 9))));
        now = now.plus(FleetState.ACKNOWLEDGED_POSITION_RETENTION);
        assertThat(state.acknowledgedPosition(GROUP, now), is(Optional.empty()));
    }

    /** Guards against traffic that grows with the square of the fleet size although nothing changes. */
    @Test
    void should_send_to_a_large_fleet_less_often_unless_demand_changes() {
        Map<VmName, String> others = new HashMap<>();
        for (int vm = 2; vm <= 34; vm++) {
            others.put(VmName.of("vm-" + vm), "10.0.0." + vm + ":1");
        }
        on(new FleetEvent.VmsListed(others));
        assertThat(sendsToPeers(Map.of()), is(true));
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of()), is(false));
        assertThat(sendsToPeers(Map.of(CustomerName.of("troupe"), 5.0)), is(true));
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of(CustomerName.of("troupe"), 5.5)), is(false));
        now = now.plus(TrackedPeers.MAXIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of(CustomerName.of("troupe"), 5.5)), is(true));
    }

    @Test
    void should_send_to_a_small_fleet_at_the_minimum_interval() {
        on(new FleetEvent.VmsListed(Map.of(PEER, "10.0.0.2:1")));
        assertThat(sendsToPeers(Map.of()), is(true));
        now = now.plus(TrackedPeers.MINIMUM_INTERVAL);
        assertThat(sendsToPeers(Map.of()), is(true));
    }

    private boolean sendsToPeers(Map<CustomerName, Double> demand) {
        on(new FleetEvent.TrafficReported(demand, Map.of(), Map.of(), Map.of()));
        return effects.stream().anyMatch(FleetEffect.SendToPeers.class::isInstance);
    }

    /** Guards against rebuilding the traffic thread's view for each message of another VM. */
    @Test
    void should_publish_a_view_only_when_it_changed() {
        learnBoth();
        assertThat(effects.stream().anyMatch(FleetEffect.PublishView.class::isInstance), is(true));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        assertThat(effects.stream().anyMatch(FleetEffect.PublishView.class::isInstance), is(false));
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()));
        assertThat(effects.stream().anyMatch(FleetEffect.PublishShares.class::isInstance), is(true));
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
        on(new FleetEvent.VmsListed(Map.of(PEER, "10.0.0.2:1")));
        reportPrimaryFailing();
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of())));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.empty()));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(PRIMARY, Duration.ofMillis(400)), Map.of())));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.of(PromotionReason.FAILING)));
    }

    @Test
    void should_replace_a_primary_that_acknowledges_no_commit() {
        learnBoth();
        on(new FleetEvent.VmsListed(Map.of(PEER, "10.0.0.2:1")));
        Instant since = now;
        now = now.plusMillis(900);
        DatabaseHealth health = new DatabaseHealth(Optional.of(now), Optional.empty(), Optional.of(since));
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(PRIMARY, health), Map.of(), Map.of()));
        on(new FleetEvent.PeerMessageReceived(message(0, Map.of(), Map.of(PRIMARY, Duration.ofMillis(900)))));
        assertThat(PrimaryReplacementPolicy.reason(state, GROUP, now), is(Optional.of(PromotionReason.FAILING)));
    }

    @Test
    void should_treat_a_restarted_database_as_recently_restarted_until_it_caught_up() {
        learnBoth();
        DatabaseEntry restarted =
                new DatabaseEntry(REPLICA, GROUP, "10.0.0.1:1", FailureDomain.of("a"), 2, false, false, 2, 9);
        on(new FleetEvent.DatabaseEntryChanged(restarted));
        assertThat(state.recentlyRestartedDatabases(now).contains(REPLICA), is(true));
        advance(Duration.ofMillis(4100));
        assertThat(state.recentlyRestartedDatabases(now).contains(REPLICA), is(false));
    }

    private void reportPrimaryFailing() {
        Instant since = now;
        now = now.plusMillis(400);
        DatabaseHealth health = new DatabaseHealth(Optional.empty(), Optional.of(since), Optional.empty());
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(PRIMARY, health), Map.of(), Map.of()));
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

    private static PeerMessage message(
            long version, Map<BackendServerName, Duration> failing, Map<BackendServerName, Duration> commits) {
        return new PeerMessage(
                PEER, version, Map.of(), failing, commits, Map.of(), Map.of(GROUP, LogPosition.of(3, 9)), Map.of());
    }

    private static ServiceConfiguration configuration(long version) {
        return ServiceConfiguration.of(version, Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));
    }

    private static DatabaseEntry entry(BackendServerName name, boolean primary, boolean draining, long revision) {
        return new DatabaseEntry(name, GROUP, "10.0.0.1:1", FailureDomain.of("a"), 2, draining, primary, 1, revision);
    }
}
