package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.HolderSelection;
import org.geraniumproxy.core.limit.LimitView;
import org.geraniumproxy.core.limit.LoanKey;
import org.geraniumproxy.core.limit.LoanOffer;
import org.geraniumproxy.core.limit.RateEffect;
import org.geraniumproxy.core.limit.RateEvent;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;
import org.geraniumproxy.measure.simulation.SimulatedScheduler;

/** One run of a {@link LimitScenario}: the real limits of several VMs over fake links on simulated time. */
public final class LimitRun {
    /** Time in which the VMs start and their shares come into force, before the first request. */
    private static final Duration WARM_UP = Duration.ofSeconds(30);

    private static final int SPIKE_INTERVAL_SECONDS = 4;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration REQUEST_PATIENCE = Duration.ofSeconds(2);
    private static final CustomerName CUSTOMER = CustomerName.of("troupes");
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final long LONGEST_WAIT_NANOSECONDS = Duration.ofMinutes(1).toNanos();

    private final LimitScenario scenario;
    private final Random random;
    private final SimulatedScheduler time = new SimulatedScheduler();
    private final Map<VmName, LimitNode> nodes = new HashMap<>();
    private final List<LimitNode> order = new ArrayList<>();
    private final Map<Long, Arrival> open = new HashMap<>();
    private final IdealBucket ideal;
    private final IdealBucket charged;
    private final Histogram waits = new Histogram(LONGEST_WAIT_NANOSECONDS, 3);
    private final LimitFaultPlan faults;
    private Roster roster;
    private long nextRequest;
    private long admitted;
    private long refused;
    private long refusedByIdeal;
    private long wronglyRefused;
    private long messages;

    private record Arrival(Instant at, boolean admittedByIdeal) {}

    private LimitRun(LimitScenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        List<Vm> vms = IntStream.range(0, SimulatedDeployment.VM_COUNT)
                .mapToObj(scenario.deployment()::vm)
                .toList();
        this.roster = new Roster(1, vms);
        this.ideal = new IdealBucket(scenario.ratePerSecond(), scenario.burst(), time.now());
        this.charged = new IdealBucket(scenario.ratePerSecond(), scenario.burst(), time.now());
        for (Vm vm : vms) {
            Duration offset = Duration.ofMillis(random.nextInt(10_000_000));
            LimitNode node = new LimitNode(vm, offset, scenario.timing(), time.now());
            nodes.put(vm.name(), node);
            order.add(node);
        }
        this.faults = new LimitFaultPlan(this, scenario.faults(), time, random, order);
    }

    /**
     * Runs a scenario.
     *
     * @param scenario the scenario
     * @return its figures; the same scenario gives the same figures
     * @throws org.geraniumproxy.core.control.InvariantViolation if a limit finds an invariant broken
     */
    public static LimitResult run(LimitScenario scenario) {
        return new LimitRun(scenario).run();
    }

    private LimitResult run() {
        order.forEach(this::poll);
        order.forEach(node -> wake(node, node.incarnation()));
        time.scheduleAfter(WARM_UP, this::arrive);
        time.scheduleAfter(WARM_UP, faults::begin);
        time.runUntil(SimulatedScheduler.START.plus(WARM_UP).plus(scenario.duration()));
        return new LimitResult(
                admitted + refused,
                admitted,
                refused,
                refusedByIdeal,
                wronglyRefused,
                charged.largestOverrun(),
                messages,
                waits.getValueAtPercentile(99) / 1e6);
    }

    /** Puts a roster in force; VMs learn of it at their next view exchange. */
    void changeRoster(List<Vm> vms) {
        roster = new Roster(roster.revision() + 1, vms);
    }

    Roster roster() {
        return roster;
    }

    /** Begins the timers of a process that has been started again. */
    void started(LimitNode node) {
        wake(node, node.incarnation());
    }

    private void arrive() {
        boolean calm = Math.floorMod(time.now().getEpochSecond(), SPIKE_INTERVAL_SECONDS) != 0;
        double perSecond = scenario.ratePerSecond() * (calm ? scenario.calmLoad() : scenario.load());
        double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
        time.scheduleAfter(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)), this::arrive);
        boolean first = random.nextDouble() < scenario.firstVmShare();
        LimitNode node = order.get(first ? 0 : 1 + random.nextInt(order.size() - 1));
        long request = nextRequest++;
        boolean admittedByIdeal = ideal.tryTake(time.now());
        refusedByIdeal += admittedByIdeal ? 0 : 1;
        open.put(request, new Arrival(time.now(), admittedByIdeal));
        Instant deadline = node.ownClock(time.now()).plus(REQUEST_PATIENCE);
        deliver(node, new RateEvent.RequestArrived(request, deadline));
    }

    private void poll(LimitNode node) {
        Instant begunAt = time.now();
        time.scheduleAfter(POLL_INTERVAL.plusMillis(random.nextInt(20)), () -> poll(node));
        if (node.isIsolated(begunAt) || node.isPaused(begunAt)) {
            return;
        }
        int incarnation = node.incarnation();
        Duration there = Duration.ofMillis(1 + random.nextInt(12));
        time.scheduleAfter(there, () -> {
            Roster newest = roster;
            time.scheduleAfter(
                    there,
                    () -> whenAwake(node, incarnation, () -> {
                        node.learn(newest, HolderSelection.holders(CUSTOMER, newest, scenario.burst()), begunAt);
                        handle(node, new RateEvent.TimePassed());
                    }));
        });
    }

    private void wake(LimitNode node, int incarnation) {
        if (node.incarnation() != incarnation) {
            return;
        }
        if (node.isPaused(time.now())) {
            node.hold(() -> wake(node, incarnation));
            return;
        }
        handle(node, new RateEvent.TimePassed());
        time.scheduleAfter(node.untilWake(time.now()), () -> wake(node, incarnation));
    }

    private void deliver(LimitNode node, RateEvent event) {
        whenAwake(node, node.incarnation(), () -> handle(node, event));
    }

    private void whenAwake(LimitNode node, int incarnation, Runnable action) {
        if (node.isPaused(time.now())) {
            node.hold(() -> whenAwake(node, incarnation, action));
        } else if (node.incarnation() == incarnation) {
            action.run();
        }
    }

    private void handle(LimitNode node, RateEvent event) {
        node.apply(event, view(node), time.now()).effects().forEach(effect -> carryOut(node, effect));
    }

    private LimitView view(LimitNode node) {
        VmName self = node.vm().name();
        List<VmName> holders = node.holders();
        List<VmName> others = scenario.lending()
                ? holders.stream().filter(vm -> !vm.equals(self)).toList()
                : List.of();
        return new LimitView(self, scenario.ratePerSecond(), scenario.burst(), holders, others, node.provenAt());
    }

    private void carryOut(LimitNode node, RateEffect effect) {
        VmName self = node.vm().name();
        switch (effect) {
            case RateEffect.Admit admit -> admit(admit.requestNumber());
            case RateEffect.Refuse refuse -> refuse(refuse.requestNumber());
            case RateEffect.Borrow borrow -> {
                LoanKey loan = new LoanKey(self, borrow.loanIdentifier());
                send(node, nodes.get(borrow.holder()), new RateEvent.LoanRequested(loan, borrow.wanted()));
            }
            case RateEffect.Report report -> {
                LoanKey loan = new LoanKey(self, report.loanIdentifier());
                RateEvent event = new RateEvent.LoanReported(loan, report.spent(), report.unspent());
                send(node, nodes.get(report.holder()), event);
            }
            case RateEffect.Offer offer -> answer(node, offer.loan(), offer.offer());
        }
    }

    private void answer(LimitNode lender, LoanKey loan, LoanOffer offer) {
        RateEvent event =
                new RateEvent.OfferArrived(loan.identifier(), offer.granted(), offer.validity(), offer.remaining());
        send(lender, nodes.get(loan.borrower()), event);
    }

    /** Sends a message over a link that loses, duplicates, delays and reorders messages. */
    private void send(LimitNode from, LimitNode to, RateEvent event) {
        messages++;
        LimitFaults plan = scenario.faults();
        int copies = random.nextDouble() < plan.loss() ? 0 : random.nextDouble() < plan.duplication() ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            Duration delay = scenario.deployment().latency(from.vm(), to.vm());
            if (random.nextDouble() < plan.slow()) {
                delay = delay.plusMillis(random.nextLong(plan.longestDelay().toMillis()));
            }
            time.scheduleAfter(delay, () -> deliver(to, event));
        }
    }

    private void admit(long request) {
        Arrival arrival = open.remove(request);
        admitted++;
        charged.force(time.now());
        waits.recordValue(Duration.between(arrival.at(), time.now()).toNanos());
    }

    private void refuse(long request) {
        Arrival arrival = open.remove(request);
        refused++;
        wronglyRefused += arrival.admittedByIdeal() ? 1 : 0;
        waits.recordValue(Duration.between(arrival.at(), time.now()).toNanos());
    }
}
