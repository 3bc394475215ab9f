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

/** One run of a {@link LimitScenario}: production limits of several VMs over simulated links on simulated time. */
public final class LimitRun {
    /** Time before the first request in which the VMs start and their shares become active. */
    private static final Duration WARM_UP = Duration.ofSeconds(30);

    private static final int SPIKE_INTERVAL_SECONDS = 4;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final CustomerName CUSTOMER = CustomerName.of("troupes");
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final long MAXIMUM_WAIT_NANOSECONDS = Duration.ofMinutes(1).toNanos();

    private final LimitScenario scenario;
    private final Random random;
    private final SimulatedScheduler scheduler = new SimulatedScheduler();
    private final Map<VmName, LimitNode> nodesByName = new HashMap<>();
    private final List<LimitNode> nodes = new ArrayList<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final ReferenceTokenBucket referenceBucket;
    private final ReferenceTokenBucket admissionBucket;
    private final Histogram waits = new Histogram(MAXIMUM_WAIT_NANOSECONDS, 3);
    private final LimitFaultInjector faultInjector;
    private Roster roster;
    private long nextRequestId;
    private long admitted;
    private long refused;
    private long refusedByReference;
    private long wronglyRefused;
    private long messages;

    private record PendingRequest(Instant arrivedAt, boolean admittedByReference) {}

    private LimitRun(LimitScenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        List<Vm> vms = IntStream.range(0, SimulatedDeployment.VM_COUNT)
                .mapToObj(scenario.deployment()::vm)
                .toList();
        this.roster = new Roster(1, vms);
        this.referenceBucket = new ReferenceTokenBucket(scenario.ratePerSecond(), scenario.burst(), scheduler.now());
        this.admissionBucket = new ReferenceTokenBucket(scenario.ratePerSecond(), scenario.burst(), scheduler.now());
        for (Vm vm : vms) {
            Duration offset = Duration.ofMillis(random.nextInt(10_000_000));
            LimitNode node = new LimitNode(vm, offset, scenario.timing(), scheduler.now());
            nodesByName.put(vm.name(), node);
            nodes.add(node);
        }
        this.faultInjector = new LimitFaultInjector(this, scenario.faults(), scheduler, random, nodes);
    }

    /**
     * Runs a scenario.
     *
     * @param scenario the scenario
     * @return the metrics; equal scenarios give equal metrics
     * @throws org.geraniumproxy.core.control.InvariantViolation if a limit detects a violated invariant
     */
    public static LimitResult run(LimitScenario scenario) {
        return new LimitRun(scenario).run();
    }

    private LimitResult run() {
        nodes.forEach(this::pollView);
        nodes.forEach(node -> wakeUp(node, node.incarnation()));
        scheduler.scheduleAfter(WARM_UP, this::handleArrival);
        scheduler.scheduleAfter(WARM_UP, faultInjector::start);
        scheduler.runUntil(SimulatedScheduler.START.plus(WARM_UP).plus(scenario.duration()));
        return new LimitResult(
                admitted + refused,
                admitted,
                refused,
                refusedByReference,
                wronglyRefused,
                admissionBucket.maximumOverrun(),
                messages,
                waits.getValueAtPercentile(99) / 1e6);
    }

    /** Activates a new roster, which VMs receive in their next view exchange. */
    void changeRoster(List<Vm> vms) {
        roster = new Roster(roster.revision() + 1, vms);
    }

    Roster roster() {
        return roster;
    }

    /** Starts the timers of a restarted process. */
    void startTimers(LimitNode node) {
        wakeUp(node, node.incarnation());
    }

    private void handleArrival() {
        boolean calm = Math.floorMod(scheduler.now().getEpochSecond(), SPIKE_INTERVAL_SECONDS) != 0;
        double arrivalsPerSecond =
                scenario.ratePerSecond() * (calm ? scenario.calmLoadFactor() : scenario.spikeLoadFactor());
        double seconds = -Math.log(1 - random.nextDouble()) / arrivalsPerSecond;
        scheduler.scheduleAfter(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)), this::handleArrival);
        boolean toFirstVm = random.nextDouble() < scenario.firstVmShare();
        LimitNode node = nodes.get(toFirstVm ? 0 : 1 + random.nextInt(nodes.size() - 1));
        long requestId = nextRequestId++;
        boolean admittedByReference = referenceBucket.tryTake(scheduler.now());
        refusedByReference += admittedByReference ? 0 : 1;
        pendingRequests.put(requestId, new PendingRequest(scheduler.now(), admittedByReference));
        Instant deadline = node.localTime(scheduler.now()).plus(REQUEST_TIMEOUT);
        deliver(node, new RateEvent.RequestArrived(requestId, deadline));
    }

    private void pollView(LimitNode node) {
        Instant startedAt = scheduler.now();
        scheduler.scheduleAfter(POLL_INTERVAL.plusMillis(random.nextInt(20)), () -> pollView(node));
        if (node.isIsolated(startedAt) || node.isPaused(startedAt)) {
            return;
        }
        int incarnation = node.incarnation();
        Duration oneWayLatency = Duration.ofMillis(1 + random.nextInt(12));
        scheduler.scheduleAfter(oneWayLatency, () -> {
            Roster newest = roster;
            scheduler.scheduleAfter(
                    oneWayLatency,
                    () -> runWhenNotPaused(node, incarnation, () -> {
                        node.updateView(newest, HolderSelection.holders(CUSTOMER, newest, scenario.burst()), startedAt);
                        handle(node, new RateEvent.TimePassed());
                    }));
        });
    }

    private void wakeUp(LimitNode node, int incarnation) {
        if (node.incarnation() != incarnation) {
            return;
        }
        if (node.isPaused(scheduler.now())) {
            node.defer(() -> wakeUp(node, incarnation));
            return;
        }
        handle(node, new RateEvent.TimePassed());
        scheduler.scheduleAfter(node.timeUntilWakeUp(scheduler.now()), () -> wakeUp(node, incarnation));
    }

    private void deliver(LimitNode node, RateEvent event) {
        runWhenNotPaused(node, node.incarnation(), () -> handle(node, event));
    }

    private void runWhenNotPaused(LimitNode node, int incarnation, Runnable action) {
        if (node.isPaused(scheduler.now())) {
            node.defer(() -> runWhenNotPaused(node, incarnation, action));
        } else if (node.incarnation() == incarnation) {
            action.run();
        }
    }

    private void handle(LimitNode node, RateEvent event) {
        node.apply(event, view(node), scheduler.now()).effects().forEach(effect -> execute(node, effect));
    }

    private LimitView view(LimitNode node) {
        VmName self = node.vm().name();
        List<VmName> holders = node.holders();
        List<VmName> others = scenario.lending()
                ? holders.stream().filter(vm -> !vm.equals(self)).toList()
                : List.of();
        return new LimitView(self, scenario.ratePerSecond(), scenario.burst(), holders, others, node.provenAt());
    }

    private void execute(LimitNode node, RateEffect effect) {
        VmName self = node.vm().name();
        switch (effect) {
            case RateEffect.Admit admit -> admit(admit.requestNumber());
            case RateEffect.Refuse refuse -> refuse(refuse.requestNumber());
            case RateEffect.Borrow borrow -> {
                LoanKey loan = new LoanKey(self, borrow.loanIdentifier());
                send(node, nodesByName.get(borrow.holder()), new RateEvent.LoanRequested(loan, borrow.wanted()));
            }
            case RateEffect.Report report -> {
                LoanKey loan = new LoanKey(self, report.loanIdentifier());
                RateEvent event = new RateEvent.LoanReported(loan, report.spent(), report.unspent());
                send(node, nodesByName.get(report.holder()), event);
            }
            case RateEffect.Offer offer -> sendOffer(node, offer.loan(), offer.offer());
        }
    }

    private void sendOffer(LimitNode lender, LoanKey loan, LoanOffer offer) {
        RateEvent event =
                new RateEvent.OfferArrived(loan.identifier(), offer.granted(), offer.validity(), offer.remaining());
        send(lender, nodesByName.get(loan.borrower()), event);
    }

    /** Sends a message over a link that may lose, duplicate, delay and reorder messages. */
    private void send(LimitNode from, LimitNode to, RateEvent event) {
        messages++;
        LimitFaults faults = scenario.faults();
        int copies = random.nextDouble() < faults.lossProbability()
                ? 0
                : random.nextDouble() < faults.duplicationProbability() ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            Duration delay = scenario.deployment().latency(from.vm(), to.vm());
            if (random.nextDouble() < faults.delayProbability()) {
                delay = delay.plusMillis(random.nextLong(faults.maximumDelay().toMillis()));
            }
            scheduler.scheduleAfter(delay, () -> deliver(to, event));
        }
    }

    private void admit(long requestId) {
        PendingRequest pending = pendingRequests.remove(requestId);
        admitted++;
        admissionBucket.takeUnconditionally(scheduler.now());
        waits.recordValue(Duration.between(pending.arrivedAt(), scheduler.now()).toNanos());
    }

    private void refuse(long requestId) {
        PendingRequest pending = pendingRequests.remove(requestId);
        refused++;
        wronglyRefused += pending.admittedByReference() ? 1 : 0;
        waits.recordValue(Duration.between(pending.arrivedAt(), scheduler.now()).toNanos());
    }
}
