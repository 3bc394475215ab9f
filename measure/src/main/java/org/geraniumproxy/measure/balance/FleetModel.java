package org.geraniumproxy.measure.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.geraniumproxy.core.balance.GroupEjections;
import org.geraniumproxy.core.balance.LoadEstimate;
import org.geraniumproxy.core.balance.LoadReport;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.balance.ReplicaChoice;
import org.geraniumproxy.core.balance.ReportedLoad;
import org.geraniumproxy.core.balance.ResponseSummary;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.VmName;

/** Event-stepped model of VMs that place reads on the databases of six groups. Callers and groups differ in demand. */
final class FleetModel {
    static final int GROUPS = 6;
    private static final int MEMBERS = 3;
    private static final int DOMAINS = 6;
    private static final int CUSTOMERS = 88;
    private static final double OPENING_MS = 12;
    private static final double CONNECTION_IDLE_MS = 400;
    private static final double REPORT_MS = 500;
    private static final double EVALUATION_MS = 100;

    /** Figures of the deployments in docs/hard-load-work.md; rates per second, times in milliseconds. */
    record Load(
            int vms,
            int slots,
            double domainMs,
            double writes,
            double writeMs,
            double stale,
            double staleMs,
            double fresh,
            double freshMs) {
        Load withReads(double factor) {
            return new Load(vms, slots, domainMs, writes, writeMs, stale * factor, staleMs, fresh * factor, freshMs);
        }
    }

    static final Load H = new Load(36, 5, 1.4, 66, 8, 115, 40, 310, 24);
    static final Load P = new Load(83, 6, 3.5, 83, 9.3, 83, 47, 388, 28);

    /** A fleet without position messages, in which a VM knows its own figures only. */
    static final Load SMALL_FLEET = new Load(5, 5, 1.4, 66, 8, 115, 40, 310, 24);

    /** How a VM chooses a database, and which load figures it has. */
    enum Choice {
        CHEAPEST,
        OWN_FIGURES,
        REGION_REPORTS,
        FLEET_REPORTS
    }

    private record Event(double at, long number, Runnable action) {}

    private record Job(double workMs, Runnable done) {}

    /** Runs statements in its slots and queues the others in the order of their arrival. */
    final class Database {
        final BackendServerName name;
        final int domain;
        final boolean primary;
        final Deque<Job> queue = new ArrayDeque<>();
        double slowness = 1;
        int running;
        double area;
        double changedAt;
        int reads;

        Database(int group, int member) {
            name = BackendServerName.of("db-" + group + "-" + member);
            domain = (group + 2 * member) % DOMAINS;
            primary = member == 0;
        }

        void submit(Job job) {
            account();
            queue.add(job);
            start();
        }

        private void start() {
            while (running < load.slots() && !queue.isEmpty()) {
                Job job = queue.poll();
                running++;
                after(job.workMs() * slowness, () -> {
                    account();
                    running--;
                    job.done().run();
                    start();
                });
            }
        }

        void account() {
            area += (now - changedAt) * (running + queue.size());
            changedAt = now;
        }
    }

    private final class Vm {
        final VmName name;
        final int domain;
        final Map<BackendServerName, Integer> outstanding = new HashMap<>();
        final Map<BackendServerName, Double> latency = new HashMap<>();
        final Map<BackendServerName, ReportedLoad> reported = new HashMap<>();
        final Map<String, Deque<Double>> idle = new HashMap<>();
        final List<GroupEjections> ejections = new ArrayList<>();

        Vm(int number) {
            name = VmName.of("vm-" + number);
            domain = number * DOMAINS / load.vms();
            for (int group = 0; group < GROUPS; group++) {
                ejections.add(GroupEjections.NONE);
            }
        }

        void read(int group, double workMs) {
            String customer = "/" + (int) Math.floor(Math.pow(CUSTOMERS, random.nextDouble()));
            List<Database> members = databases.get(group);
            Database database = choice == Choice.CHEAPEST ? cheapest(members, customer) : weighted(group, customer);
            database.reads++;
            send(database, group, workMs, customer, true);
        }

        void send(Database database, int group, double workMs, String customer, boolean read) {
            boolean opens = !hasIdle(database, customer, true);
            double oneWay = oneWay(domain, database.domain);
            double sentAt = now;
            outstanding.merge(database.name, 1, Integer::sum);
            after(
                    oneWay,
                    () -> database.submit(new Job(
                            workMs + (opens ? OPENING_MS : 0),
                            () -> after(oneWay, () -> {
                                outstanding.merge(database.name, -1, Integer::sum);
                                idle.computeIfAbsent(database.name + customer, _ -> new ArrayDeque<>())
                                        .push(now);
                                double taken = now - sentAt - (opens ? OPENING_MS * database.slowness : 0);
                                double known = latency.getOrDefault(database.name, 20.0);
                                latency.put(database.name, known + (taken - known) / 8);
                                if (read) {
                                    ejections.set(
                                            group,
                                            ejections.get(group).answered(database.name, millis(taken), instant()));
                                }
                            }))));
        }

        private boolean hasIdle(Database database, String customer, boolean take) {
            Deque<Double> connections = idle.getOrDefault(database.name + customer, new ArrayDeque<>());
            connections.removeIf(since -> since < now - CONNECTION_IDLE_MS);
            return take ? connections.poll() != null : !connections.isEmpty();
        }

        /** The choice before reports: the lowest cost by this VM's own figures. */
        private Database cheapest(List<Database> members, String customer) {
            ToDoubleFunction<Database> cost = database -> {
                double queueFactor = 1 + (double) outstanding.getOrDefault(database.name, 0) / load.slots();
                double connection = hasIdle(database, customer, false) ? 0 : 40;
                double sum = latency.getOrDefault(database.name, 20.0) * queueFactor + connection;
                return database.primary ? 2 * sum : sum;
            };
            return members.stream().min(Comparator.comparingDouble(cost)).orElseThrow();
        }

        private Database weighted(int group, String customer) {
            List<Database> members = databases.get(group);
            double mean = LoadEstimate.meanReported(
                    members.stream().map(this::estimate).toList(), instant());
            List<ReplicaChoice.Candidate> candidates = members.stream()
                    .map(database -> new ReplicaChoice.Candidate(
                            database.name,
                            database.primary,
                            load.slots(),
                            estimate(database).expected(mean, instant()),
                            responses(group, database).serviceTime(),
                            !hasIdle(database, customer, false),
                            ejections.get(group).admittedShare(database.name, instant()),
                            false))
                    .toList();
            BackendServerName chosen =
                    ReplicaChoice.choose(candidates, random.nextDouble()).orElseThrow();
            return members.stream()
                    .filter(database -> database.name.equals(chosen))
                    .findFirst()
                    .orElseThrow();
        }

        private LoadEstimate estimate(Database database) {
            return new LoadEstimate(
                    outstanding.getOrDefault(database.name, 0), Optional.ofNullable(reported.get(database.name)));
        }

        private ResponseSummary responses(int group, Database database) {
            ResponseSummary own = ejections.get(group).responses(database.name, instant());
            return reported.containsKey(database.name)
                    ? own.plus(reported.get(database.name).responses())
                    : own;
        }

        void report() {
            after(REPORT_MS, this::report);
            int region = choice == Choice.FLEET_REPORTS ? 0 : domain / 2;
            Map<BackendServerName, LoadReport> own = new HashMap<>();
            for (int group = 0; group < GROUPS; group++) {
                for (Database database : databases.get(group)) {
                    own.put(
                            database.name,
                            new LoadReport(
                                    outstanding.getOrDefault(database.name, 0),
                                    ejections.get(group).responses(database.name, instant()),
                                    Duration.ZERO));
                }
            }
            reports.set(region, reports.get(region).with(name, own, instant()));
            LoadReports.Sums sums = reports.get(region).sumWithout(own.keySet(), name, instant());
            sums.loads()
                    .forEach((database, sum) -> ReportedLoad.of(sum, sums.vms(), load.vms(), instant())
                            .ifPresent(known -> reported.put(database, known)));
        }

        void evaluate() {
            after(EVALUATION_MS, this::evaluate);
            for (int group = 0; group < GROUPS; group++) {
                Map<BackendServerName, ResponseSummary> others = new HashMap<>();
                reported.forEach((database, known) -> others.put(database, known.responses()));
                List<BackendServerName> replicas = databases.get(group).stream()
                        .filter(database -> !database.primary)
                        .map(database -> database.name)
                        .toList();
                ejections.set(
                        group,
                        ejections
                                .get(group)
                                .evaluate(replicas, others, instant())
                                .state());
            }
        }
    }

    final List<List<Database>> databases = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final List<LoadReports> reports =
            new ArrayList<>(List.of(LoadReports.NONE, LoadReports.NONE, LoadReports.NONE));
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparing(Event::number));
    private final Load load;
    private final Choice choice;
    private final SplittableRandom random;
    private double now;
    private long eventCount;

    FleetModel(Load load, Choice choice, long seed) {
        this.load = load;
        this.choice = choice;
        this.random = new SplittableRandom(seed);
        for (int group = 0; group < GROUPS; group++) {
            List<Database> members = new ArrayList<>();
            for (int member = 0; member < MEMBERS; member++) {
                members.add(new Database(group, member));
            }
            databases.add(members);
        }
        for (int number = 0; number < load.vms(); number++) {
            Vm vm = new Vm(number);
            vms.add(vm);
            if (choice == Choice.REGION_REPORTS || choice == Choice.FLEET_REPORTS) {
                after(random.nextDouble() * REPORT_MS, vm::report);
            }
            if (choice != Choice.CHEAPEST) {
                after(random.nextDouble() * EVALUATION_MS, vm::evaluate);
            }
        }
        arrivals(
                load.writes(),
                (vm, group) -> vm.send(databases.get(group).getFirst(), group, work(load.writeMs()), "/writer", false));
        arrivals(load.stale(), (vm, group) -> vm.read(group, work(load.staleMs())));
        arrivals(load.fresh(), (vm, group) -> vm.read(group, work(load.freshMs())));
    }

    private interface Operation {
        void start(Vm vm, int group);
    }

    private void arrivals(double perSecond, Operation operation) {
        after(-Math.log(1 - random.nextDouble()) * 1000 / perSecond, () -> {
            // The minimum of two draws gives some VMs and groups up to several times the demand of others.
            int vm = Math.min(random.nextInt(load.vms()), random.nextInt(load.vms()));
            int group = random.nextInt(2) == 0 ? random.nextInt(GROUPS) : random.nextInt(GROUPS / 2);
            operation.start(vms.get(vm), group);
            arrivals(perSecond, operation);
        });
    }

    private double work(double meanMs) {
        return meanMs * (0.5 + random.nextDouble());
    }

    private double oneWay(int from, int to) {
        return from == to ? 0.1 : from / 2 == to / 2 ? load.domainMs() : 12;
    }

    private void after(double delayMs, Runnable action) {
        events.add(new Event(now + delayMs, eventCount++, action));
    }

    private Instant instant() {
        return Instant.EPOCH.plus(millis(now));
    }

    private static Duration millis(double time) {
        return Duration.ofNanos(Math.round(time * 1e6));
    }

    void run(double seconds) {
        double end = now + seconds * 1000;
        all().forEach(database -> {
            database.account();
            database.area = 0;
            database.reads = 0;
        });
        while (events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
        all().forEach(Database::account);
    }

    Stream<Database> all() {
        return databases.stream().flatMap(List::stream);
    }

    /**
     * Returns the largest ratio of a database's statements in progress in the last run to its group's replicas' mean.
     */
    double busiestToMean() {
        double busiest = 0;
        for (List<Database> members : databases) {
            double mean = members.stream()
                    .filter(database -> !database.primary)
                    .mapToDouble(database -> database.area)
                    .average()
                    .orElseThrow();
            busiest = Math.max(
                    busiest,
                    members.stream()
                                    .mapToDouble(database -> database.area)
                                    .max()
                                    .orElseThrow()
                            / mean);
        }
        return busiest;
    }

    /** Returns the share of its group's reads that a database got in the last run. */
    double share(int group, int member) {
        double total = databases.get(group).stream()
                .mapToInt(database -> database.reads)
                .sum();
        return databases.get(group).get(member).reads / total;
    }
}
