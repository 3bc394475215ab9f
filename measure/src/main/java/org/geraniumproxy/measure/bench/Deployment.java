package org.geraniumproxy.measure.bench;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Sizes and names of a deployment of one user (section 1.6 of the design page).
 *
 * @param name name on the command line
 * @param regions names of the regions
 * @param groupPrefix prefix of the group names
 * @param slots maximum number of concurrent statements per database
 * @param maximumConnections maximum number of connections per database
 * @param connectionSetupTime time to open a connection
 * @param replicationLag typical replication lag of the replicas
 * @param customers customers; the first one is the open customer
 * @param routeNames names of the routes
 */
public record Deployment(
        String name,
        List<String> regions,
        String groupPrefix,
        int slots,
        int maximumConnections,
        Duration connectionSetupTime,
        Duration replicationLag,
        List<CustomerProfile> customers,
        RouteNames routeNames) {
    /** Number of entry VMs of either user. */
    public static final int VM_COUNT = 4;

    /** Number of groups of either user. */
    public static final int GROUP_COUNT = 3;

    /** Number of databases per group, one in each region. */
    public static final int GROUP_SIZE = 3;

    /** In requests per second. */
    private static final double LARGE_RATE = 200;

    /** In requests per second. */
    private static final double SMALL_RATE = 40;

    /** A replica without backlog lags by a few times the one-way latency between regions. */
    private static final Duration TYPICAL_LAG = Duration.ofMillis(20);

    /**
     * Name, rate limit and weight of a customer.
     *
     * @param name name of the customer
     * @param rate requests per second
     * @param burst requests that may be sent at once after a period without requests
     * @param weight weight in the fair queues
     */
    public record CustomerProfile(String name, double rate, int burst, int weight) {}

    /**
     * Names of the routes.
     *
     * @param register route for writes and reads of records
     * @param pay route for non-repeatable writes
     * @param view route for public reads with a positive accepted age
     */
    public record RouteNames(String register, String pay, String view) {}

    /** Makes unmodifiable copies of the lists. */
    public Deployment {
        regions = List.copyOf(regions);
        customers = List.copyOf(customers);
    }

    /**
     * Returns the deployment with the given name.
     *
     * @param name {@code festival} or {@code weed}
     * @return the deployment, empty for any other name
     */
    public static Optional<Deployment> findByName(String name) {
        return Stream.of(festival(), weed())
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the deployment of the festival house.
     *
     * @return deployment named {@code festival}
     */
    public static Deployment festival() {
        return new Deployment(
                "festival",
                List.of("lima", "cusco", "arequipa"),
                "festival-ledger-",
                2,
                16,
                Duration.ofMillis(12),
                TYPICAL_LAG,
                customers(
                        "public",
                        "troupes-lima",
                        "troupes-cusco",
                        "troupes-arequipa",
                        "accounting",
                        "programme-office",
                        "jury",
                        "press"),
                new RouteNames("registrations", "payments", "programme"));
    }

    /**
     * Returns the deployment of the weed unit.
     *
     * @return deployment named {@code weed}
     */
    public static Deployment weed() {
        return new Deployment(
                "weed",
                List.of("západ", "stred", "východ"),
                "harvest-db-",
                5,
                60,
                Duration.ofMillis(30),
                TYPICAL_LAG,
                customers(
                        "anglers",
                        "crews-západ",
                        "crews-stred",
                        "crews-východ",
                        "dispatchers",
                        "inspectors",
                        "towns",
                        "billing"),
                new RouteNames("runs", "landings", "cleared-areas"));
    }

    /**
     * Returns the customer for which requests without a key run.
     *
     * @return the first customer
     */
    public CustomerProfile openCustomer() {
        return customers.getFirst();
    }

    /**
     * Returns the names of the groups.
     *
     * @return prefix and number, from 1
     */
    public List<String> groups() {
        return Stream.iterate(1, number -> number + 1)
                .limit(GROUP_COUNT)
                .map(number -> groupPrefix + number)
                .toList();
    }

    /**
     * Returns the names of the databases of a group, one for each region.
     *
     * @param group name of the group
     * @return names in region order
     */
    public List<String> databases(String group) {
        return Stream.of("a", "b", "c").map(letter -> group + letter).toList();
    }

    /**
     * Returns the name of the route to a single group, which only measurements use.
     *
     * @param group name of the group
     * @return name of the route
     */
    public String singleGroupRoute(String group) {
        return "only-" + group;
    }

    private static List<CustomerProfile> customers(String open, String... others) {
        List<CustomerProfile> small = Stream.of(others)
                .skip(2)
                .map(name -> new CustomerProfile(name, SMALL_RATE, 20, 1))
                .toList();
        Stream<CustomerProfile> large = Stream.concat(
                Stream.of(new CustomerProfile(open, LARGE_RATE, 50, 1)),
                Stream.of(others).limit(2).map(name -> new CustomerProfile(name, LARGE_RATE, 50, 2)));
        return Stream.concat(large, small.stream()).toList();
    }
}
