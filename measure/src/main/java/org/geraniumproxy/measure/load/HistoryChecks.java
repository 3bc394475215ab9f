package org.geraniumproxy.measure.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.protocol.ReceivedStatement;

/** Compares the results that callers received with the histories of the databases. */
public final class HistoryChecks {
    private HistoryChecks() {}

    /**
     * Returns the statements of acknowledged writes that are missing from the logs of all current primaries.
     *
     * @param records the records of a run
     * @param histories the histories of all databases, taken after the last request has ended
     * @return statements of the lost writes
     */
    public static List<String> lostWrites(List<RequestRecord> records, List<DatabaseHistory> histories) {
        Set<String> appliedWrites = new HashSet<>();
        histories.stream()
                .filter(DatabaseHistory::currentPrimary)
                .forEach(history -> appliedWrites.addAll(history.appliedWrites()));
        return records.stream()
                .filter(RequestRecord::isAcknowledgedWrite)
                .flatMap(request -> request.operation().statements().stream())
                .filter(statement -> !appliedWrites.contains(statement))
                .toList();
    }

    /**
     * Checks the guarantees that histories can show to be violated.
     *
     * @param records the records of the run
     * @param histories the histories of all databases, taken after the last request has ended
     * @param keys keys that callers presented
     * @return the violations, empty if there are none
     */
    public static List<GuaranteeViolation> check(
            List<RequestRecord> records, List<DatabaseHistory> histories, Set<String> keys) {
        List<GuaranteeViolation> violations = new ArrayList<>();
        for (String lostWrite : lostWrites(records, histories)) {
            violations.add(
                    new GuaranteeViolation(Guarantee.ACKNOWLEDGED_WRITE_KEPT, lostWrite + " is in no primary's log"));
        }
        Map<String, Integer> maximumRuns = maximumRuns(histories);
        records.forEach(request -> checkRuns(request, maximumRuns, violations));
        for (DatabaseHistory history : histories) {
            checkTransactions(history, violations);
            checkKeys(history, keys, violations);
        }
        return violations;
    }

    /** Returns, for each statement, its maximum number of occurrences in any one log. */
    private static Map<String, Integer> maximumRuns(List<DatabaseHistory> histories) {
        Map<String, Integer> maximumRuns = new HashMap<>();
        for (DatabaseHistory history : histories) {
            Map<String, Integer> runs = new HashMap<>();
            history.appliedWrites().forEach(text -> runs.merge(text, 1, Integer::sum));
            runs.forEach((text, count) -> maximumRuns.merge(text, count, Math::max));
        }
        return maximumRuns;
    }

    private static void checkRuns(
            RequestRecord request, Map<String, Integer> maximumRuns, List<GuaranteeViolation> violations) {
        if (!request.operation().isWrite()) {
            return;
        }
        for (String statement : request.operation().statements()) {
            int runs = maximumRuns.getOrDefault(statement, 0);
            if (runs > 1 && !request.operation().isRepeatable()) {
                violations.add(new GuaranteeViolation(Guarantee.AT_MOST_ONCE, statement + " ran " + runs + " times"));
            }
            if (runs > 0 && request.result() instanceof CallResult.NotRun notRun) {
                violations.add(new GuaranteeViolation(
                        Guarantee.NOT_RUN_IS_TRUE,
                        statement + " ran, but was reported as not run with " + notRun.reason()));
            }
        }
        checkAtomicity(request, maximumRuns, violations);
    }

    private static void checkAtomicity(
            RequestRecord request, Map<String, Integer> maximumRuns, List<GuaranteeViolation> violations) {
        List<String> statements = request.operation().statements();
        long appliedStatements =
                statements.stream().filter(maximumRuns::containsKey).count();
        if (appliedStatements != 0 && appliedStatements != statements.size()) {
            violations.add(new GuaranteeViolation(
                    Guarantee.TRANSACTIONS_APART,
                    "only " + appliedStatements + " of " + statements.size() + " statements ran of the transaction of "
                            + statements.getFirst()));
        }
    }

    /** Checks that a connection carries statements of only one customer between begin and end of a transaction. */
    private static void checkTransactions(DatabaseHistory history, List<GuaranteeViolation> violations) {
        Map<String, String> transactionCustomers = new HashMap<>();
        for (ReceivedStatement statement : history.receivedStatements()) {
            String customer = transactionCustomers.get(statement.getConnection());
            switch (statement.getStatement()) {
                case "BEGIN" -> transactionCustomers.put(statement.getConnection(), statement.getCustomer());
                case "COMMIT", "ROLLBACK" -> transactionCustomers.remove(statement.getConnection());
                default -> {
                    if (customer != null && !customer.equals(statement.getCustomer())) {
                        violations.add(new GuaranteeViolation(
                                Guarantee.TRANSACTIONS_APART,
                                "connection " + statement.getConnection() + " mixed " + customer + " and "
                                        + statement.getCustomer()));
                    }
                }
            }
        }
    }

    private static void checkKeys(DatabaseHistory history, Set<String> keys, List<GuaranteeViolation> violations) {
        boolean keyReceived = history.receivedStatements().stream()
                .anyMatch(statement -> keys.stream()
                        .anyMatch(key -> statement.getStatement().contains(key)
                                || statement.getCustomer().contains(key)));
        if (keyReceived) {
            violations.add(new GuaranteeViolation(
                    Guarantee.NO_KEY_AT_BACKEND, history.backendServer() + " received a caller's key"));
        }
    }
}
