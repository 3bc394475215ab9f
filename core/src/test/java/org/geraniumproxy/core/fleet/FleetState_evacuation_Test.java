package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.CallerDrain;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.promotion.PromotionReason;
import org.geraniumproxy.core.routing.EvacuationPhase;
import org.geraniumproxy.core.service.AllowedRegions;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.junit.jupiter.api.Test;

/** Guards against databases that are used in an evacuated failure domain, or out of use without an evacuation. */
class FleetState_evacuation_Test {
    private static final GroupName GROUP = GroupName.of("entries");
    private static final FailureDomain LIMA = FailureDomain.of("lima-a");
    private static final FailureDomain CUSCO = FailureDomain.of("cusco-a");
    private static final FailureDomain TACNA = FailureDomain.of("tacna-a");
    private static final BackendServerName PRIMARY = BackendServerName.of("db-lima");
    private static final BackendServerName SECOND = BackendServerName.of("db-cusco");
    private static final BackendServerName THIRD = BackendServerName.of("db-tacna");
    private static final VmName PEER = VmName.of("vm-2");
    private static final EvacuationRules RULES = new EvacuationRules(
            Map.of(LIMA, RegionName.of("lima"), CUSCO, RegionName.of("cusco"), TACNA, RegionName.of("tacna")),
            Duration.ofSeconds(5));

    private Instant now = Instant.EPOCH;
    private FleetState state = running(VmName.of("vm-1"));
    private List<FleetEffect> effects = List.of();

    @Test
    void should_stop_using_replicas_at_once_and_use_them_again_when_the_key_is_removed() {
        on(changed(CUSCO, true, 20));
        assertThat(used(), containsInAnyOrder(PRIMARY, THIRD));
        assertThat(view().formerDatabases().keySet(), containsInAnyOrder(SECOND));
        on(changed(CUSCO, false, 21));
        assertThat(used(), containsInAnyOrder(PRIMARY, SECOND, THIRD));
        assertThat(view().constraints().evacuated(), is(Map.of()));
    }

    /** Guards against a gap in service before the replacement, and against statements after the time limit. */
    @Test
    void should_let_a_primary_serve_until_1500_ms_before_the_bound() {
        on(changed(LIMA, true, 20));
        assertThat(reason(), is(Optional.of(PromotionReason.EVACUATING)));
        advance(Duration.ofMillis(3400));
        assertThat(used(), containsInAnyOrder(PRIMARY, SECOND, THIRD));
        advance(Duration.ofMillis(100));
        assertThat(used(), containsInAnyOrder(SECOND, THIRD));
        assertThat(reason(), is(Optional.of(PromotionReason.EVACUATED)));
        assertThat(view().constraints().closedGroups(), is(Set.of(GROUP)));
        advance(Duration.ofMillis(300));
        assertThat(phase(LIMA), is(EvacuationPhase.ENDED));
    }

    @Test
    void should_stop_using_the_old_primary_when_another_one_leads() {
        on(changed(LIMA, true, 20));
        on(new FleetEvent.PrimaryClaimed(GROUP, new PrimaryClaim(SECOND, 4)));
        assertThat(used(), containsInAnyOrder(SECOND, THIRD));
        assertThat(reason(), is(Optional.empty()));
        advance(Duration.ofSeconds(4));
        assertThat(view().constraints().closedGroups(), is(empty()));
    }

    /** Guards against a VM that goes on because its watch has gone silent, and against one that undoes a removal. */
    @Test
    void should_follow_the_vm_whose_set_is_valid_at_the_later_revision() {
        on(told(21, Map.of(CUSCO, Duration.ofMillis(900))));
        assertThat(used(), containsInAnyOrder(PRIMARY, THIRD));
        on(changed(CUSCO, false, 22));
        on(told(21, Map.of(CUSCO, Duration.ofSeconds(1))));
        on(changed(CUSCO, true, 21));
        assertThat(used(), containsInAnyOrder(PRIMARY, SECOND, THIRD));
    }

    @Test
    void should_count_the_bound_from_the_time_at_which_another_vm_learned_of_the_order() {
        on(told(21, Map.of(LIMA, Duration.ofSeconds(3))));
        advance(Duration.ofMillis(500));
        assertThat(phase(LIMA), is(EvacuationPhase.CLOSED));
    }

    /** Guards against a VM that was suspended and counts the bound from its end. */
    @Test
    void should_take_over_the_greater_age_of_an_order_that_another_vm_tells_again() {
        on(changed(LIMA, true, 20));
        on(told(20, Map.of(LIMA, Duration.ofSeconds(4))));
        assertThat(phase(LIMA), is(EvacuationPhase.ENDED));
    }

    /** Guards against a restarted VM whose assumed age closes the failure domain for all others. */
    @Test
    void should_not_tell_an_assumed_age() {
        state = FleetState.initial(VmName.of("vm-3"), new FleetTiming(Duration.ofSeconds(7), Duration.ZERO), RULES);
        on(new FleetEvent.VmsListed(Map.of(PEER, "10.0.0.2:1"), Map.of()));
        on(new FleetEvent.EvacuationsListed(new StoreRevision(0, 30), Set.of(LIMA)));
        assertThat(phase(LIMA), is(EvacuationPhase.ENDED));
        assertThat(sentNotice().map(EvacuationNotice::ages), is(Optional.of(Map.of(LIMA, Duration.ZERO))));
    }

    @Test
    void should_tell_other_vms_of_the_evacuations_and_of_their_end() {
        assertThat(sentNotice(), is(Optional.empty()));
        on(changed(CUSCO, true, 20));
        assertThat(sentNotice().map(EvacuationNotice::ages), is(Optional.of(Map.of(CUSCO, Duration.ofMillis(500)))));
        on(changed(CUSCO, false, 21));
        assertThat(sentNotice(), is(Optional.of(new EvacuationNotice(new StoreRevision(0, 21), Map.of()))));
    }

    @Test
    void should_replace_the_known_evacuations_by_a_full_read_only() {
        on(changed(CUSCO, true, 20));
        advance(Duration.ofHours(1));
        assertThat(used(), containsInAnyOrder(PRIMARY, THIRD));
        on(new FleetEvent.EvacuationsListed(new StoreRevision(1, 9), Set.of(TACNA)));
        assertThat(used(), containsInAnyOrder(PRIMARY, SECOND));
    }

    /** Guards against a process that uses a primary after the time limit because it learned of the order late. */
    @Test
    void should_assume_that_the_bound_is_over_at_process_start() {
        state = FleetState.initial(VmName.of("vm-3"), new FleetTiming(Duration.ofSeconds(7), Duration.ZERO), RULES);
        on(new FleetEvent.EvacuationsListed(new StoreRevision(0, 30), Set.of(LIMA)));
        on(listed());
        assertThat(used(), containsInAnyOrder(SECOND, THIRD));
    }

    /** Guards against an order that is taken for new although the store had not answered for a long time. */
    @Test
    void should_count_the_bound_from_the_last_answer_when_the_history_was_lost() {
        on(new FleetEvent.StoreAnswered());
        now = now.plusSeconds(3);
        on(new FleetEvent.EvacuationsListed(new StoreRevision(0, 30), Set.of(LIMA)));
        assertThat(phase(LIMA), is(EvacuationPhase.REPLACING));
        advance(Duration.ofMillis(500));
        assertThat(phase(LIMA), is(EvacuationPhase.CLOSED));
    }

    @Test
    void should_ignore_and_log_an_unknown_failure_domain() {
        on(changed(FailureDomain.of("lima-z"), true, 20));
        assertThat(view().constraints().evacuated(), is(Map.of()));
        assertThat(logged("evacuation ignored").contains("key=\"op/evacuate/lima-z\""), is(true));
    }

    @Test
    void should_log_an_allowed_region_that_no_failure_domain_has() {
        CustomerName name = CustomerName.of("troupe");
        ServiceCustomer customer = new ServiceCustomer(name, Set.of(), 1, 1, new AllowedRegions(Set.of("limma")));
        on(new FleetEvent.ConfigurationReceived(
                ServiceConfiguration.of(3, Map.of(), Map.of(), Map.of(name, customer), Duration.ofSeconds(3))));
        assertThat(logged("unknown region").contains("key=\"op/config\" customer=troupe regions=[limma]"), is(true));
    }

    /** Guards against the replacement of a primary by another database that is evacuated. */
    @Test
    void should_not_replace_a_primary_when_all_databases_of_its_group_are_evacuated() {
        on(changed(LIMA, true, 20));
        on(changed(CUSCO, true, 21));
        assertThat(reason(), is(Optional.of(PromotionReason.EVACUATING)));
        assertThat(state.evacuated(GROUP), containsInAnyOrder(PRIMARY, SECOND));
        on(changed(TACNA, true, 22));
        assertThat(reason(), is(Optional.empty()));
        advance(Duration.ofMillis(3500));
        assertThat(used(), is(empty()));
        assertThat(view().constraints().closedGroups(), is(Set.of(GROUP)));
    }

    /** Guards against a promotion that doesn't count an evacuated database, which still confirms commits. */
    @Test
    void should_keep_evacuated_databases_as_members_of_their_group() {
        on(changed(CUSCO, true, 20));
        assertThat(state.members(GROUP).databases().keySet(), containsInAnyOrder(PRIMARY, SECOND, THIRD));
    }

    @Test
    void should_go_on_with_an_evacuation_while_the_vm_stops() {
        on(changed(LIMA, true, 20));
        on(new FleetEvent.StopSignalled(new CallerDrain(now, now.plusSeconds(9), now.plusSeconds(10))));
        advance(Duration.ofMillis(3500));
        assertThat(phase(LIMA), is(EvacuationPhase.CLOSED));
        assertThat(view().drain().isPresent(), is(true));
    }

    /** Guards against the lease holder that gives up because its own failure domain is evacuated. */
    @Test
    void should_replace_primaries_when_the_holder_of_the_lease_is_in_the_evacuated_failure_domain() {
        on(new FleetEvent.PromotionLeaseMoved(Optional.of(VmName.of("vm-1"))));
        on(changed(LIMA, true, 20));
        assertThat(reason(), is(Optional.of(PromotionReason.EVACUATING)));
        assertThat(state.isPromotionCandidate(), is(true));
    }

    private FleetState running(VmName self) {
        FleetState started =
                FleetState.initial(self, new FleetTiming(Duration.ofSeconds(7), Duration.ofSeconds(4)), RULES);
        return started.on(new FleetEvent.EvacuationsListed(new StoreRevision(0, 10), Set.of()), now)
                .state()
                .on(new FleetEvent.VmsListed(Map.of(PEER, "10.0.0.2:1"), Map.of()), now)
                .state()
                .on(listed(), now)
                .state();
    }

    private static FleetEvent listed() {
        return new FleetEvent.DatabasesListed(Map.of(
                PRIMARY, entry(PRIMARY, LIMA, true),
                SECOND, entry(SECOND, CUSCO, false),
                THIRD, entry(THIRD, TACNA, false)));
    }

    private static FleetEvent changed(FailureDomain failureDomain, boolean evacuated, long revision) {
        return new FleetEvent.EvacuationsChanged(
                List.of(new EvacuationChange(failureDomain, evacuated, new StoreRevision(0, revision))));
    }

    private static FleetEvent told(long revision, Map<FailureDomain, Duration> ages) {
        return new FleetEvent.PeerMessageReceived(new PeerMessage(
                PEER,
                0,
                true,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Optional.of(new EvacuationNotice(new StoreRevision(0, revision), ages))));
    }

    private void on(FleetEvent event) {
        Transition<FleetState, FleetEffect> transition = state.on(event, now);
        state = transition.state();
        effects = transition.effects();
    }

    private void advance(Duration duration) {
        now = now.plus(duration);
        on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()));
    }

    /** Returns what the next message to the other VM says. */
    private Optional<EvacuationNotice> sentNotice() {
        advance(Duration.ofMillis(500));
        return effects.stream()
                .filter(FleetEffect.SendToPeers.class::isInstance)
                .map(effect -> ((FleetEffect.SendToPeers) effect).message())
                .findFirst()
                .orElseThrow()
                .evacuations();
    }

    /** Returns the view that is published when the state changes next. */
    private TrafficView view() {
        FleetEvent stop = new FleetEvent.StopSignalled(new CallerDrain(now, now.plusSeconds(8), now.plusSeconds(9)));
        return state.on(stop, now).effects().stream()
                .filter(FleetEffect.PublishView.class::isInstance)
                .map(effect -> ((FleetEffect.PublishView) effect).view())
                .findFirst()
                .orElseThrow();
    }

    private EvacuationPhase phase(FailureDomain failureDomain) {
        return view().constraints().evacuated().get(failureDomain);
    }

    private Set<BackendServerName> used() {
        return new HashSet<>(state.groups()
                .getOrDefault(GROUP, GroupDirectory.EMPTY)
                .databases()
                .keySet());
    }

    private Optional<PromotionReason> reason() {
        return PrimaryReplacementPolicy.reason(state, GROUP, now);
    }

    private String logged(String change) {
        return effects.stream()
                .filter(effect ->
                        effect instanceof FleetEffect.Log line && line.change().equals(change))
                .map(effect -> ((FleetEffect.Log) effect).detail())
                .findFirst()
                .orElse("");
    }

    private static DatabaseEntry entry(BackendServerName name, FailureDomain failureDomain, boolean primary) {
        return new DatabaseEntry(
                name, GROUP, "10.0.0.1:1", failureDomain, 2, false, primary, 1, 1, new StoreRevision(0, 5));
    }
}
