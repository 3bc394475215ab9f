package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Ejection of replicas of one group that are slow, fail part of their statements, or alternate between answers and
 * failures. The evidence are the responses to statements, at this VM and in the reports of others.
 *
 * @param records responses and standing of each database that this VM has used
 */
public record GroupEjections(Map<BackendServerName, DatabaseRecord> records) {
    /** No database was used. */
    public static final GroupEjections NONE = new GroupEjections(Map.of());

    /** At most this share of a group's replicas, rounded down, is ejected or ramps up at any time. */
    static final double MAXIMUM_EJECTED_SHARE = 0.5;

    /** Share of failures that a caller notices as an error rate, while retries hide a lower one. */
    private static final double FAILURE_RATIO = 0.2;

    /** Other databases are fine while they fail less than this part of that share. */
    private static final double FINE_PART = 0.25;

    /** Weight of failures or answers below which a share or a mean is a matter of chance. */
    private static final double MINIMUM_WEIGHT = 3;

    /**
     * Ratio to the service time of another replica. Network distance and a full queue reach a factor of two or three.
     */
    private static final double SLOW_RATIO = 4;

    /** Weight that three outages within about 20 s exceed; two single restarts don't. */
    private static final double OUTAGES = 2;

    /** Time of full service after which earlier ejections don't prolong the next one. */
    private static final Duration PROBATION = Duration.ofSeconds(60);

    /** Copies the map. */
    public GroupEjections {
        records = Map.copyOf(records);
    }

    /**
     * Records the answer to a statement.
     *
     * @param database name of the database
     * @param serviceTime time from sending the statement to the answer
     * @param now current time
     * @return updated records
     */
    public GroupEjections answered(BackendServerName database, Duration serviceTime, Instant now) {
        return with(database, record(database, now).answered(serviceTime, now));
    }

    /**
     * Records a refusal, an error or a missing answer.
     *
     * @param database name of the database
     * @param now current time
     * @return updated records
     */
    public GroupEjections failed(BackendServerName database, Instant now) {
        return with(database, record(database, now).failed(now));
    }

    /**
     * Returns the share of its usual reads that a database is given.
     *
     * @param database name of the database
     * @param now current time
     * @return from 0 to 1
     */
    public double admittedShare(BackendServerName database, Instant now) {
        DatabaseRecord known = records.get(database);
        return known == null ? 1 : known.standing().admittedShare(now);
    }

    /**
     * Returns the recent responses of a database to this VM.
     *
     * @param database name of the database
     * @param now current time
     * @return summary of the responses
     */
    public ResponseSummary responses(BackendServerName database, Instant now) {
        DatabaseRecord known = records.get(database);
        return known == null ? ResponseSummary.NONE : known.window().summary(now);
    }

    /**
     * Ejects and re-admits replicas.
     *
     * @param replicas replicas that may serve reads; others have left or are the primary, and lose their record of
     *     ejections
     * @param reported responses of the databases to other VMs
     * @param now current time
     * @return next state and what changed
     */
    public Transition<GroupEjections, EjectionChange> evaluate(
            List<BackendServerName> replicas, Map<BackendServerName, ResponseSummary> reported, Instant now) {
        Map<BackendServerName, DatabaseRecord> next = new HashMap<>(records);
        List<EjectionChange> changes = new ArrayList<>();
        next.replaceAll((database, known) -> replicas.contains(database) ? known : known.withoutEjections());
        Map<BackendServerName, ResponseSummary> evidence = new HashMap<>();
        for (BackendServerName replica : replicas) {
            evidence.put(replica, responses(replica, now).plus(reported.getOrDefault(replica, ResponseSummary.NONE)));
            next.computeIfPresent(replica, (_, known) -> readmit(replica, known, now, changes));
        }
        for (BackendServerName replica : replicas) {
            DatabaseRecord known = next.get(replica);
            if (known == null || known.standing() instanceof Standing.Ejected) {
                continue;
            }
            Optional<String> reason = reason(replica, known, evidence, now);
            if (reason.isPresent() && mayEject(replica, replicas, next)) {
                DatabaseRecord ejected = known.ejected(now);
                next.put(replica, ejected);
                changes.add(new EjectionChange(
                        EjectionChange.Kind.EJECTED, replica, reason.get() + " ejections=" + ejected.ejections()));
            }
        }
        return Transition.to(new GroupEjections(next), changes);
    }

    private static DatabaseRecord readmit(
            BackendServerName database, DatabaseRecord known, Instant now, List<EjectionChange> changes) {
        return switch (known.standing()) {
            case Standing.Ejected ejected
            when !now.isBefore(ejected.until()) -> {
                changes.add(new EjectionChange(
                        EjectionChange.Kind.READMITTED,
                        database,
                        "share=" + Standing.Returning.FIRST_SHARE + " ejections=" + known.ejections()));
                yield known.with(new Standing.Returning(now));
            }
            case Standing.Returning _
            when known.standing().admittedShare(now) >= 1 -> {
                changes.add(new EjectionChange(
                        EjectionChange.Kind.RESTORED,
                        database,
                        describe(known.window().summary(now))));
                yield known.with(new Standing.Serving(now));
            }
            case Standing.Serving serving
            when known.ejections() > 0 && !now.isBefore(serving.since().plus(PROBATION)) -> known.withoutEjections();
            case Standing.Serving _, Standing.Ejected _, Standing.Returning _ -> known;
        };
    }

    private static Optional<String> reason(
            BackendServerName database,
            DatabaseRecord known,
            Map<BackendServerName, ResponseSummary> evidence,
            Instant now) {
        ResponseSummary own = evidence.get(database);
        ResponseSummary others = evidence.entrySet().stream()
                .filter(other -> !other.getKey().equals(database))
                .map(Map.Entry::getValue)
                .reduce(ResponseSummary.NONE, ResponseSummary::plus);
        String inputs = describe(own) + " others=\"" + describe(others) + "\"";
        boolean othersFine = others.answered() >= MINIMUM_WEIGHT && others.failureRatio() < FAILURE_RATIO * FINE_PART;
        if (othersFine && own.failed() >= MINIMUM_WEIGHT && own.failureRatio() >= FAILURE_RATIO) {
            return Optional.of("reason=failing " + inputs);
        }
        if (othersFine && known.outages(now) > OUTAGES) {
            return Optional.of(
                    String.format(Locale.ROOT, "reason=flapping outages=%.1f ", known.outages(now)) + inputs);
        }
        boolean slow = own.answered() >= MINIMUM_WEIGHT
                && others.answered() >= MINIMUM_WEIGHT
                && own.serviceTime().toNanos()
                        >= SLOW_RATIO * others.serviceTime().toNanos();
        return slow ? Optional.of("reason=slow " + inputs) : Optional.empty();
    }

    private static boolean mayEject(
            BackendServerName replica,
            List<BackendServerName> replicas,
            Map<BackendServerName, DatabaseRecord> records) {
        long reduced = replicas.stream()
                .filter(other -> !other.equals(replica))
                .map(records::get)
                .filter(known -> known != null && !(known.standing() instanceof Standing.Serving))
                .count();
        return reduced + 1 <= replicas.size() * MAXIMUM_EJECTED_SHARE;
    }

    private static String describe(ResponseSummary responses) {
        return String.format(
                Locale.ROOT,
                "answered=%.1f failed=%.1f service=%dms",
                responses.answered(),
                responses.failed(),
                responses.serviceTime().toMillis());
    }

    private DatabaseRecord record(BackendServerName database, Instant now) {
        return records.getOrDefault(database, DatabaseRecord.initial(now));
    }

    private GroupEjections with(BackendServerName database, DatabaseRecord next) {
        Map<BackendServerName, DatabaseRecord> all = new HashMap<>(records);
        all.put(database, next);
        return new GroupEjections(all);
    }
}
