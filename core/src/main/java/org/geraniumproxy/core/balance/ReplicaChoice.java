package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Chooses the database for a read at random, weighted by the expected free capacity. VMs with the same figures choose
 * different databases, so that a database that looks free is not overrun.
 */
public final class ReplicaChoice {
    /** Cost factor of the primary for reads, so that reads load the primary only if replicas are this much slower. */
    private static final double PRIMARY_COST_FACTOR = 2.0;

    /** Cost of a read that needs a new connection: opening one takes a slot and a round trip. */
    private static final Duration NEW_CONNECTION_COST = Duration.ofMillis(40);

    /** Expected service time of a database without answers; typical of a read in another region. */
    private static final Duration UNKNOWN_SERVICE_TIME = Duration.ofMillis(20);

    /**
     * Ratio of service times up to which databases count as equally fast. A round trip between regions takes as long as
     * a short read; if it counted, VMs that are unevenly distributed would load the databases unevenly.
     */
    private static final double EQUAL_SERVICE_RATIO = 2.0;

    /** Weight that keeps an avoided or ejected database a candidate while no other one is left. */
    private static final double LAST_RESORT_SHARE = 1.0;

    private ReplicaChoice() {}

    /**
     * Database that may serve a read.
     *
     * @param database name of the database
     * @param primary whether it is the primary, which is spared for writes
     * @param slots number of statements that it runs concurrently
     * @param load expected number of statements in progress
     * @param serviceTime mean time to an answer, 0 if unknown
     * @param needsConnection whether a connection must be opened for the read
     * @param admittedShare share of its usual reads that it is given, from 0 to 1
     * @param avoided whether it lags or doesn't answer
     */
    public record Candidate(
            BackendServerName database,
            boolean primary,
            int slots,
            double load,
            Duration serviceTime,
            boolean needsConnection,
            double admittedShare,
            boolean avoided) {
        private double serviceNanos(double fallback) {
            return serviceTime.isZero() ? fallback : serviceTime.toNanos();
        }

        private double cost(double fastestNanos) {
            double unknown = primary ? UNKNOWN_SERVICE_TIME.toNanos() : fastestNanos;
            return serviceNanos(unknown) * (1 + load / Math.max(1, slots)) + connectionNanos();
        }

        private double connectionNanos() {
            return needsConnection ? NEW_CONNECTION_COST.toNanos() : 0;
        }

        private boolean usable() {
            return !avoided && admittedShare > 0;
        }

        /**
         * The capacity is the share of the slots that a further statement gets. In contrast to the number of free slots
         * it changes by at most half as much as the load in relation to it, so that many VMs that react to a late
         * report don't overshoot.
         */
        private double weight(double fastestNanos) {
            double capacity = Math.max(1, slots) / (1 + load / Math.max(1, slots));
            double slowness = Math.max(1, serviceNanos(fastestNanos) / fastestNanos / EQUAL_SERVICE_RATIO);
            double connection = fastestNanos / (fastestNanos + connectionNanos());
            double role = primary ? 1 / PRIMARY_COST_FACTOR : 1;
            return capacity / (slowness * slowness) * connection * role;
        }
    }

    /**
     * Chooses a database. The primary takes part only if no replica is usable or all usable ones are far slower. An
     * avoided or ejected replica is chosen only if nothing else is left.
     *
     * @param candidates databases that may serve the read
     * @param random number from 0 (inclusive) to 1 (exclusive)
     * @return the chosen database, or empty if there are no candidates
     */
    public static Optional<BackendServerName> choose(List<Candidate> candidates, double random) {
        double fastestNanos = candidates.stream()
                .filter(candidate ->
                        !candidate.primary() && !candidate.serviceTime().isZero())
                .mapToDouble(candidate -> candidate.serviceTime().toNanos())
                .min()
                .orElse((double) UNKNOWN_SERVICE_TIME.toNanos());
        List<Candidate> usable = candidates.stream().filter(Candidate::usable).toList();
        double replicaCost = usable.stream()
                .filter(candidate -> !candidate.primary())
                .mapToDouble(candidate -> candidate.cost(fastestNanos))
                .min()
                .orElse(Double.MAX_VALUE);
        List<Candidate> chosenFrom = usable.stream()
                .filter(candidate ->
                        !candidate.primary() || candidate.cost(fastestNanos) * PRIMARY_COST_FACTOR < replicaCost)
                .toList();
        return chosenFrom.isEmpty()
                ? pick(lastResort(candidates), fastestNanos, random)
                : pick(chosenFrom, fastestNanos, random);
    }

    private static List<Candidate> lastResort(List<Candidate> candidates) {
        List<Candidate> replicas = candidates.stream()
                .filter(candidate -> !candidate.primary())
                .map(candidate -> new Candidate(
                        candidate.database(),
                        false,
                        candidate.slots(),
                        candidate.load(),
                        candidate.serviceTime(),
                        candidate.needsConnection(),
                        LAST_RESORT_SHARE,
                        false))
                .toList();
        return replicas.isEmpty() ? candidates : replicas;
    }

    private static Optional<BackendServerName> pick(List<Candidate> candidates, double fastestNanos, double random) {
        double total = 0;
        for (Candidate candidate : candidates) {
            total += candidate.weight(fastestNanos) * candidate.admittedShare();
        }
        double rest = random * total;
        for (Candidate candidate : candidates) {
            rest -= candidate.weight(fastestNanos) * candidate.admittedShare();
            if (rest < 0) {
                return Optional.of(candidate.database());
            }
        }
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.getLast().database());
    }
}
