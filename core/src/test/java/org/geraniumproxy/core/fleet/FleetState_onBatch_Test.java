package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.junit.jupiter.api.Test;

/** Guards against a control thread that computes for each event what follows from the last one alone. */
class FleetState_onBatch_Test {
    private static final VmName SELF = VmName.of("vm-0");
    private static final int VMS = 83;

    private Instant now = Instant.EPOCH;

    @Test
    void should_publish_one_view_and_send_one_message_for_a_batch() {
        List<FleetEffect> effects = initial().on(startEvents(), now).effects();
        assertThat(count(effects, FleetEffect.PublishView.class), is(1L));
        // The report of groups and the heartbeat have different receivers.
        assertThat(count(effects, FleetEffect.SendToPeers.class), is(2L));
    }

    /** Guards against a batch whose result depends on how the events were divided. */
    @Test
    void should_reach_the_same_state_and_log_the_same_lines_as_event_by_event() {
        Transition<FleetState, FleetEffect> batch = initial().on(startEvents(), now);
        FleetState single = initial();
        List<FleetEffect> effects = new ArrayList<>();
        for (FleetEvent event : startEvents()) {
            Transition<FleetState, FleetEffect> step = single.on(event, now);
            single = step.state();
            effects.addAll(step.effects());
        }
        assertThat(batch.state().configuration(), is(single.configuration()));
        assertThat(batch.state().peers().addresses(), is(single.peers().addresses()));
        assertThat(batch.state().reachablePeers(now), is(single.reachablePeers(now)));
        assertThat(batch.state().ownership(), is(single.ownership()));
        assertThat(lines(batch.effects()), is(lines(effects)));
    }

    /** Guards against owners that are kept after a VM fell silent, because nothing else changed. */
    @Test
    void should_notice_at_the_same_time_as_a_full_computation_that_a_vm_fell_silent() {
        FleetState state = initial().on(startEvents(), now).state();
        for (int step = 0; step < 300; step++) {
            now = now.plusMillis(100);
            List<FleetEvent> events = new ArrayList<>(List.of(report()));
            for (int vm = 1 + step % 4; vm < VMS - 2; vm += 4) {
                events.add(new FleetEvent.PeerMessageReceived(message(vm)));
            }
            state = state.on(events, now).state();
            assertThat(state.ownership(), is(state.peers().ownership(SELF, now)));
        }
        assertThat(state.ownership().unreachable(), is(Set.of(vm(VMS - 2), vm(VMS - 1))));
    }

    private static FleetState initial() {
        return FleetState.initial(SELF, new FleetTiming(Duration.ofSeconds(7), Duration.ofSeconds(4)));
    }

    private List<FleetEvent> startEvents() {
        List<FleetEvent> events = new ArrayList<>();
        for (int registered = 10; registered < VMS + 10; registered += 10) {
            Map<VmName, String> addresses = new HashMap<>();
            for (int vm = 0; vm < Math.min(registered, VMS); vm++) {
                addresses.put(vm(vm), "10.0.0." + vm + ":1");
            }
            events.add(new FleetEvent.VmsListed(addresses, Map.of()));
        }
        for (int version = 1; version <= 3; version++) {
            events.add(new FleetEvent.ConfigurationReceived(
                    ServiceConfiguration.of(version, Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3))));
        }
        for (int vm = 1; vm < VMS; vm++) {
            events.add(new FleetEvent.PeerMessageReceived(message(vm)));
        }
        events.add(report());
        return events;
    }

    private static FleetEvent report() {
        return new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of());
    }

    private static PeerMessage message(int vm) {
        return new PeerMessage(vm(vm), 3, true, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    private static VmName vm(int number) {
        return VmName.of("vm-" + number);
    }

    private static long count(List<FleetEffect> effects, Class<? extends FleetEffect> type) {
        return effects.stream().filter(type::isInstance).count();
    }

    private static List<FleetEffect> lines(List<FleetEffect> effects) {
        return effects.stream().filter(FleetEffect.Log.class::isInstance).toList();
    }
}
