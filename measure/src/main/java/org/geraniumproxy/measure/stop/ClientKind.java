package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Behaviour of a client. */
sealed interface ClientKind {
    /** Returns the statements that the client sends. */
    Work work();

    /** Returns the time between two operations. */
    Duration pause();

    /**
     * Opens a session for each operation.
     *
     * @param work statements
     * @param pause time between two sessions
     * @param direct whether the client connects to one node until it refuses, instead of asking the balancer
     */
    record OneOperation(Work work, Duration pause, boolean direct) implements ClientKind {}

    /**
     * Keeps its session and sends single statements.
     *
     * @param work statements
     * @param pause time between two statements
     */
    record Staying(Work work, Duration pause) implements ClientKind {}

    /**
     * Keeps its session and sends transactions.
     *
     * @param work statements
     * @param pause time between two statements
     */
    record Transactions(Work work, Duration pause) implements ClientKind {}

    /**
     * Keeps its session and executes a prepared statement.
     *
     * @param work statements
     * @param pause time between two statements
     */
    record Prepared(Work work, Duration pause) implements ClientKind {}

    /**
     * Keeps its session and reads long rows slowly.
     *
     * @param work statements
     * @param pause time between two statements
     */
    record SlowReader(Work work, Duration pause) implements ClientKind {}

    /**
     * Statements of a client.
     *
     * @param host name of the database, as in a route
     * @param timeout time limit of the route
     * @param minimumMillis shortest work time in milliseconds
     * @param maximumMillis longest work time in milliseconds
     * @param writes whether half of the statements write
     */
    record Work(String host, Duration timeout, int minimumMillis, int maximumMillis, boolean writes) {
        static final Work SHORT = new Work("entries", Duration.ofMillis(800), 10, 150, true);
        static final Work MEDIUM = new Work("entries", Duration.ofMillis(800), 300, 600, true);
        static final Work READS = new Work("views", Duration.ofMillis(800), 10, 150, false);
        static final Work LONG = new Work("archive", Duration.ofSeconds(3), 200, 2500, true);
        static final Work NEAR_TIMEOUT = new Work("archive", Duration.ofSeconds(3), 2600, 2950, true);

        /** Returns an item with a random work time. */
        String item(RandomGenerator random) {
            return "w" + random.nextInt(minimumMillis, maximumMillis + 1) + "x" + random.nextInt(1000);
        }

        /** Returns the text of a read or write of a random item. */
        String statement(RandomGenerator random) {
            return writes && random.nextBoolean() ? "PUT " + item(random) + " data" : "FETCH " + item(random);
        }
    }
}
