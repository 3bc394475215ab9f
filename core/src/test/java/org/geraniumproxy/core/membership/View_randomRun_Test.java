package org.geraniumproxy.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random runs of five VMs on simulated time with store outages, message delay and loss, and partitions. Guards against
 * serving with a configuration that was replaced more than 5 s ago, and against reverting to an older one.
 */
class View_randomRun_Test {
    private static final int VMS = 5;
    private static final Duration RUN = Duration.ofMinutes(3);
    private static final Duration STEP = Duration.ofMillis(100);

    /**
     * Target for the withdrawal of a key, counted from the acceptance by a majority of the voters; the maximum view age
     * is 3 s of it.
     */
    private static final Duration PROPAGATION_BOUND = Duration.ofSeconds(5);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void should_never_serve_a_stale_configuration_for_longer_than_the_bound(long seed) {
        // given
        SimulatedFleet fleet = new SimulatedFleet(seed);
        // when
        fleet.run();
        // then
        assertThat("VMs that served a stale configuration", fleet.staleServes, equalTo(0));
        assertThat("configurations accepted in the run", fleet.acceptedAt.size(), greaterThan(3));
        assertThat("every VM is current after the faults", fleet.allCurrent(), is(true));
    }

    @Test
    void should_detect_stale_serves_if_the_view_age_is_not_checked() {
        // given
        int staleServes = 0;
        // when
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(seed);
            fleet.ignoreViewAge = true;
            fleet.run();
            staleServes += fleet.staleServes;
        }
        // then
        assertThat(staleServes, greaterThan(0));
    }

    /** An action scheduled for a simulated time; the order breaks ties. */
    private record Delivery(Instant at, long sequence, Runnable action) {}

    /** Simulation of five VMs and a store. */
    private static final class SimulatedFleet {
        private final Random random;
        private final List<ViewState> states = new ArrayList<>();
        private final List<Instant> frozenUntil = new ArrayList<>();
        private final List<Instant> acceptedAt = new ArrayList<>();
        private final PriorityQueue<Delivery> deliveries =
                new PriorityQueue<>(Comparator.comparing(Delivery::at).thenComparingLong(Delivery::sequence));
        private Instant now = ViewFixtures.START;
        private Instant storeDownUntil = ViewFixtures.START;
        private Instant partitionedUntil = ViewFixtures.START;
        private int partitionedVm;
        private long storeRevision = 1;
        private long nextSequence;
        private int staleServes;
        private boolean ignoreViewAge;

        SimulatedFleet(long seed) {
            random = new Random(seed);
            for (int vm = 0; vm < VMS; vm++) {
                states.add(ViewFixtures.readFromStore(vm, VMS, now));
                frozenUntil.add(now);
            }
        }

        void run() {
            Instant end = now.plus(RUN);
            Instant faultsEnd = end.minusSeconds(15);
            while (now.isBefore(end)) {
                if (now.isBefore(faultsEnd)) {
                    injectFaults();
                }
                for (int vm = 0; vm < VMS; vm++) {
                    tick(vm);
                }
                deliver();
                recordAcceptance();
                checkServing();
                now = now.plus(STEP);
            }
        }

        private void injectFaults() {
            if (random.nextInt(150) == 0) {
                storeDownUntil = now.plusSeconds(random.nextInt(40));
            }
            if (random.nextInt(150) == 0) {
                partitionedVm = random.nextInt(VMS);
                partitionedUntil = now.plusSeconds(random.nextInt(15));
            }
            if (random.nextInt(150) == 0) {
                frozenUntil.set(random.nextInt(VMS), now.plusSeconds(random.nextInt(10)));
            }
            if (random.nextInt(60) == 0 && !isStoreDown()) {
                storeRevision++;
            }
        }

        private void tick(int vm) {
            if (isFrozen(vm) || random.nextInt(5) != 0) {
                return;
            }
            Instant sentAt = now;
            if (!isStoreDown() && !isPartitioned(vm)) {
                long revision = storeRevision;
                schedule(() -> apply(vm, new ViewEvent.ManifestRead(sentAt, ViewFixtures.configuration(revision))));
                schedule(() -> apply(vm, new ViewEvent.RosterRead(sentAt, ViewFixtures.roster(VMS))));
            }
            for (int peer = 0; peer < VMS; peer++) {
                if (peer != vm && !isPartitioned(vm) && !isPartitioned(peer) && random.nextInt(10) != 0) {
                    ask(vm, peer, sentAt);
                }
            }
        }

        private void ask(int vm, int peer, Instant sentAt) {
            schedule(() -> {
                if (!isFrozen(peer)) {
                    ViewEvent.PeerReplied reply = ViewFixtures.answer(states.get(peer), states.get(vm), sentAt, now);
                    schedule(() -> apply(vm, reply));
                }
            });
        }

        private void apply(int vm, ViewEvent event) {
            if (isFrozen(vm)) {
                deliveries.add(new Delivery(frozenUntil.get(vm), nextSequence++, () -> apply(vm, event)));
                return;
            }
            states.set(vm, ViewFixtures.apply(states.get(vm), event, now));
        }

        private void schedule(Runnable action) {
            deliveries.add(new Delivery(now.plusMillis(random.nextInt(300)), nextSequence++, action));
        }

        private void deliver() {
            while (!deliveries.isEmpty() && !deliveries.peek().at().isAfter(now)) {
                deliveries.poll().action().run();
            }
        }

        /** Records when a majority of the voters first holds a revision, which counts as its acceptance. */
        private void recordAcceptance() {
            long accepted = states.stream()
                    .map(state -> state.configuration().number())
                    .sorted(Comparator.reverseOrder())
                    .skip(VMS / 2)
                    .findFirst()
                    .orElseThrow();
            while (acceptedAt.size() < accepted) {
                acceptedAt.add(now);
            }
        }

        private void checkServing() {
            for (int vm = 0; vm < VMS; vm++) {
                int known = (int) states.get(vm).configuration().number();
                boolean replaced = known < acceptedAt.size();
                boolean overdue =
                        replaced && Duration.between(acceptedAt.get(known), now).compareTo(PROPAGATION_BOUND) > 0;
                boolean serves = ignoreViewAge || states.get(vm).isCurrent(now);
                if (overdue && serves && !isFrozen(vm)) {
                    staleServes++;
                }
            }
        }

        boolean allCurrent() {
            return states.stream()
                    .allMatch(state ->
                            state.isCurrent(now) && state.configuration().number() == storeRevision);
        }

        private boolean isStoreDown() {
            return now.isBefore(storeDownUntil);
        }

        private boolean isPartitioned(int vm) {
            return vm == partitionedVm && now.isBefore(partitionedUntil);
        }

        private boolean isFrozen(int vm) {
            return now.isBefore(frozenUntil.get(vm));
        }
    }
}
