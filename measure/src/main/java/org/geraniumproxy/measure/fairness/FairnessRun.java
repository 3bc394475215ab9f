package org.geraniumproxy.measure.fairness;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.pool.ConnectionReport;
import org.geraniumproxy.core.pool.PoolEffect;
import org.geraniumproxy.core.pool.PoolEvent;
import org.geraniumproxy.core.pool.PoolState;
import org.geraniumproxy.core.pool.PoolView;
import org.geraniumproxy.core.pool.QueuePolicy;
import org.geraniumproxy.core.pool.SlotRequest;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;
import org.geraniumproxy.measure.simulation.SimulatedScheduler;

/**
 * Eight customers of one database, two large and six small. Their regular rates add up to 80% of the capacity of its
 * slots, but the first large customer sends eight times its rate. The production queue decides, on simulated time.
 */
public final class FairnessRun {
    private static final Duration DURATION = Duration.ofMinutes(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final double MEAN_SERVICE_SECONDS = 0.010;
    private static final double BASE_LOAD = 0.8;
    private static final double NOISY_NEIGHBOUR_FACTOR = 8;
    private static final int LARGE_CUSTOMERS = 2;
    private static final int SMALL_CUSTOMERS = 6;
    private static final int LARGE_WEIGHT = 3;
    private static final int TOTAL_WEIGHT = LARGE_CUSTOMERS * LARGE_WEIGHT + SMALL_CUSTOMERS;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final CustomerName NOISY_NEIGHBOUR = CustomerName.of("large-0");

    private final SimulatedDeployment deployment;
    private final Random random;
    private final SimulatedScheduler scheduler = new SimulatedScheduler();
    private final List<SimulatedCustomer> customers;
    private final Map<CustomerName, CustomerStatistics> statistics = new HashMap<>();
    private final Map<Long, Instant> arrivals = new HashMap<>();
    private PoolState pool;
    private int openConnections;
    private long nextRequestId;
    private double busySeconds;

    private static final class CustomerStatistics {
        private long arrived;
        private long served;
        private final Histogram latency = new Histogram(Duration.ofMinutes(1).toNanos(), 3);
    }

    private FairnessRun(SimulatedDeployment deployment, long seed, QueuePolicy policy) {
        this.deployment = deployment;
        this.random = new Random(seed);
        this.pool = PoolState.initial(policy);
        this.customers = customers(capacityPerSecond());
        customers.forEach(customer -> statistics.put(customer.name(), new CustomerStatistics()));
    }

    /**
     * Runs the load against a queue policy.
     *
     * @param deployment number of slots and connections
     * @param seed seed of the run
     * @param policy order in which queued requests get slots
     * @return the metrics; equal seeds give equal metrics
     */
    public static FairnessResult run(SimulatedDeployment deployment, long seed, QueuePolicy policy) {
        return new FairnessRun(deployment, seed, policy).run();
    }

    private FairnessResult run() {
        apply(new PoolEvent.TimePassed());
        customers.forEach(
                customer -> scheduler.scheduleAfter(nextInterarrivalTime(customer), () -> handleArrival(customer)));
        scheduler.runUntil(SimulatedScheduler.START.plus(DURATION));
        double worstShare = 1;
        double worstLatency = 0;
        for (SimulatedCustomer customer : customers) {
            CustomerStatistics customerStatistics = statistics.get(customer.name());
            if (!customer.name().equals(NOISY_NEIGHBOUR)) {
                worstShare =
                        Math.min(worstShare, customerStatistics.served / entitlement(customer, customerStatistics));
                double latency = customerStatistics.latency.getValueAtPercentile(99) / NANOSECONDS_PER_MILLISECOND;
                worstLatency = Math.max(worstLatency, latency);
            }
        }
        CustomerStatistics neighbour = statistics.get(NOISY_NEIGHBOUR);
        return new FairnessResult(
                worstShare,
                worstLatency,
                (double) neighbour.served / neighbour.arrived,
                busySeconds / (deployment.slots() * (double) DURATION.toSeconds()));
    }

    /** Returns the number of requests that a customer sent, at most its weighted share of the capacity. */
    private double entitlement(SimulatedCustomer customer, CustomerStatistics customerStatistics) {
        double capacityShare = capacityPerSecond() * customer.weight() / TOTAL_WEIGHT;
        return Math.min((double) customerStatistics.arrived, capacityShare * DURATION.toSeconds());
    }

    private void handleArrival(SimulatedCustomer customer) {
        scheduler.scheduleAfter(nextInterarrivalTime(customer), () -> handleArrival(customer));
        long requestId = nextRequestId++;
        arrivals.put(requestId, scheduler.now());
        statistics.get(customer.name()).arrived++;
        Instant deadline = scheduler.now().plus(REQUEST_TIMEOUT);
        apply(new PoolEvent.SlotRequested(
                new SlotRequest(requestId, customer.name(), customer.weight(), 1, deadline, false)));
    }

    private void apply(PoolEvent event) {
        PoolView view = new PoolView(
                deployment.slots(),
                deployment.maximumConnections(),
                deployment.maximumConnections(),
                Optional.of(new ConnectionReport(scheduler.now(), openConnections)));
        Transition<PoolState, PoolEffect> transition = pool.on(event, view, scheduler.now());
        pool = transition.state();
        transition.effects().forEach(this::execute);
    }

    private void execute(PoolEffect effect) {
        switch (effect) {
            case PoolEffect.Grant grant -> serve(grant.request());
            case PoolEffect.Refuse refuse -> arrivals.remove(refuse.request().id());
            case PoolEffect.Open open -> {
                for (int opened = 0; opened < open.count(); opened++) {
                    scheduler.scheduleAfter(deployment.connectionSetupTime(), () -> {
                        openConnections++;
                        apply(new PoolEvent.ConnectionOpened());
                    });
                }
            }
            case PoolEffect.CloseIdle close -> openConnections -= close.count();
        }
    }

    private void serve(SlotRequest request) {
        double seconds = randomExponentialSeconds(1 / MEAN_SERVICE_SECONDS);
        busySeconds += seconds;
        scheduler.scheduleAfter(toDuration(seconds), () -> {
            CustomerStatistics customerStatistics = statistics.get(request.customer());
            customerStatistics.served++;
            Instant arrived = arrivals.remove(request.id());
            customerStatistics.latency.recordValue(
                    Duration.between(arrived, scheduler.now()).toNanos());
            apply(new PoolEvent.SlotReleased(request.id()));
            apply(new PoolEvent.ConnectionReturned(true));
        });
    }

    private Duration nextInterarrivalTime(SimulatedCustomer customer) {
        return toDuration(randomExponentialSeconds(customer.ratePerSecond()));
    }

    private double randomExponentialSeconds(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    private static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }

    private double capacityPerSecond() {
        return deployment.slots() / MEAN_SERVICE_SECONDS;
    }

    private static List<SimulatedCustomer> customers(double capacity) {
        double ratePerWeight = capacity * BASE_LOAD / TOTAL_WEIGHT;
        List<SimulatedCustomer> all = new ArrayList<>();
        for (int index = 0; index < LARGE_CUSTOMERS; index++) {
            CustomerName name = CustomerName.of("large-" + index);
            double factor = name.equals(NOISY_NEIGHBOUR) ? NOISY_NEIGHBOUR_FACTOR : 1;
            all.add(new SimulatedCustomer(name, ratePerWeight * LARGE_WEIGHT * factor, LARGE_WEIGHT));
        }
        for (int index = 0; index < SMALL_CUSTOMERS; index++) {
            all.add(new SimulatedCustomer(CustomerName.of("small-" + index), ratePerWeight, 1));
        }
        return all;
    }
}
