package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that transfers the whole configuration again and again, and against one that misses it. */
class ConfigurationFetch_sendIfDue_Test {
    private static final int VMS = 83;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final FleetTiming TIMING = new FleetTiming(Duration.ofSeconds(7), Duration.ofSeconds(4));

    private Instant now = Instant.EPOCH;
    private VmName self = vm(0);
    private FleetState state = FleetState.initial(self, TIMING);
    private final List<FleetEffect.FetchConfiguration> requests = new ArrayList<>();

    /** Guards against one request for each message that names the version: 135 of one VM within 2 s. */
    @Test
    void should_have_one_request_in_flight() {
        listFleet();
        for (int vm = 1; vm < VMS; vm++) {
            receive(vm, 7);
        }
        advance(Duration.ofMillis(500));
        receive(1, 8);
        assertThat(requests, hasSize(1));
    }

    /** Guards against transfers between VMs of what each one's own watch returns. */
    @Test
    void should_wait_for_the_own_watch_while_the_store_answers() {
        listFleet();
        on(new FleetEvent.RegistrationConfirmed(now));
        receive(1, 7);
        advance(Duration.ofMillis(900));
        assertThat(requests, is(empty()));
        on(new FleetEvent.ConfigurationReceived(configuration(7)));
        advance(Duration.ofSeconds(5));
        assertThat(requests, is(empty()));
    }

    /** Guards against a configuration that isn't in force within 3 s on a VM that the store has just turned away. */
    @Test
    void should_ask_a_second_vm_within_the_bound_when_the_first_one_does_not_answer() {
        listFleet();
        on(new FleetEvent.RegistrationConfirmed(now));
        receive(1, 7);
        receive(2, 7);
        Instant named = now;
        while (requests.size() < 2) {
            advance(TICK);
        }
        assertThat(requests.get(1).vm().equals(requests.get(0).vm()), is(false));
        // Up to 0.5 s pass until a message names the version, and 0.3 s until the answer arrives.
        assertThat(Duration.between(named, now).toMillis(), is(lessThanOrEqualTo(2200L)));
    }

    /** Guards against requests at a fixed rate to VMs that can't be reached. */
    @Test
    void should_back_off_after_failures() {
        listFleet();
        receive(1, 7);
        List<Instant> sent = new ArrayList<>();
        for (int tick = 0; tick < 150; tick++) {
            int before = requests.size();
            advance(TICK);
            if (requests.size() > before) {
                sent.add(now);
                on(new FleetEvent.ConfigurationFetchEnded(requests.getLast().vm()));
            }
        }
        Duration first = Duration.between(sent.get(0), sent.get(1));
        Duration last = Duration.between(sent.get(sent.size() - 2), sent.getLast());
        assertThat(last.toMillis(), is(greaterThan(10 * first.toMillis())));
        assertThat(sent.size(), is(lessThanOrEqualTo(14)));
    }

    /** Guards against a fleet that asks one VM at the same moment, or another region. */
    @Test
    void should_spread_the_requests_of_a_fleet_over_time_and_over_the_vms_of_the_region() {
        Set<VmName> asked = new HashSet<>();
        Set<Instant> times = new HashSet<>();
        for (int vm = 0; vm < VMS; vm++) {
            now = Instant.EPOCH;
            self = vm(vm);
            state = FleetState.initial(self, TIMING);
            requests.clear();
            listFleet();
            for (int peer = 0; peer < VMS; peer++) {
                if (peer != vm) {
                    receive(peer, 7);
                }
            }
            while (requests.isEmpty()) {
                advance(Duration.ofMillis(10));
            }
            assertThat(region(requests.getFirst().vm()), is(region(self)));
            asked.add(requests.getFirst().vm());
            times.add(now);
        }
        assertThat(asked.size(), is(greaterThan(VMS / 3)));
        assertThat(times.size(), is(greaterThan(10)));
    }

    private void listFleet() {
        Map<VmName, String> addresses = new HashMap<>();
        Map<VmName, RegionName> regions = new HashMap<>();
        for (int vm = 0; vm < VMS; vm++) {
            addresses.put(vm(vm), "10.0.0." + vm + ":1");
            regions.put(vm(vm), region(vm(vm)));
        }
        on(new FleetEvent.VmsListed(addresses, regions));
    }

    private void receive(int vm, long version) {
        on(new FleetEvent.PeerMessageReceived(
                new PeerMessage(vm(vm), version, true, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of())));
    }

    /** Lets time pass with the reports of the traffic thread. */
    private void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (now.isBefore(end)) {
            now = now.plus(TICK.compareTo(duration) < 0 ? TICK : duration);
            on(new FleetEvent.TrafficReported(Map.of(), Map.of(), Map.of(), Map.of()));
        }
    }

    private void on(FleetEvent event) {
        var transition = state.on(event, now);
        state = transition.state();
        transition.effects().forEach(effect -> {
            if (effect instanceof FleetEffect.FetchConfiguration request) {
                requests.add(request);
            }
        });
    }

    private static ServiceConfiguration configuration(long version) {
        return ServiceConfiguration.of(version, Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));
    }

    private static VmName vm(int number) {
        return VmName.of("vm-" + number);
    }

    private static RegionName region(VmName vm) {
        return RegionName.of("region-" + Math.floorMod(vm.hashCode(), 3));
    }
}
