package org.geraniumproxy.measure.bench;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Sizes and names of one user's deployment, see section 1.6 of the design page.
 *
 * @param name its name on the command line
 * @param regions names of the regions
 * @param groupPrefix prefix of the names of groups
 * @param slots statements at once per database
 * @param maximumConnections connections per database
 * @param connectionSetupTime time to open a connection
 * @param replicationLag typical lag of the replicas
 * @param customers the customers
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
    /** Entry VMs of either user today. */
    public static final int VM_COUNT = 4;

    /** Groups of either user today. */
    public static final int GROUP_COUNT = 3;

    /** Databases of a group, one in each region. */
    public static final int GROUP_SIZE = 3;

    /** Rate of a large customer in requests per second. */
    private static final double LARGE_RATE = 200;

    /** Rate of a small customer in requests per second. */
    private static final double SMALL_RATE = 40;

    /** Lag of a replica that keeps up: a few times the one-way latency between regions. */
    private static final Duration TYPICAL_LAG = Duration.ofMillis(20);

    /**
     * A customer and its allowance.
     *
     * @param name its name
     * @param rate requests per second
     * @param burst requests at once after a pause
     * @param weight weight in the fair queues
     */
    public record CustomerProfile(String name, double rate, int burst, int weight) {}

    /**
     * Names of the routes.
     *
     * @param register writes and reads of records
     * @param pay writes that may not be repeated
     * @param view public reads that accept data of some age
     */
    public record RouteNames(String register, String pay, String view) {}

    /** Copies the lists. */
    public Deployment {
        regions = List.copyOf(regions);
        customers = List.copyOf(customers);
    }

    /**
     * Returns the deployment with a name.
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
     * @return the deployment
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
     * @return the deployment
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
     * Returns the customer that requests without a key run for.
     *
     * @return the first customer
     */
    public CustomerProfile openCustomer() {
        return customers.getFirst();
    }

    /**
     * Returns the names of the groups.
     *
     * @return the names
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
     * @return the names
     */
    public List<String> databases(String group) {
        return Stream.of("a", "b", "c").map(letter -> group + letter).toList();
    }

    /**
     * Returns the name of the route that leads to one group only, which measurements use.
     *
     * @param group name of the group
     * @return the name
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
