package org.geraniumproxy.measure.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.protocol.ReceivedStatement;

/** Checks what callers were told against what the databases recorded. */
public final class HistoryChecks {
    private HistoryChecks() {}

    /**
     * Returns the texts of acknowledged writes that are not in the log of a current primary.
     *
     * @param records the records of a run
     * @param histories the histories of all databases, taken after the last request has ended
     * @return the lost writes
     */
    public static List<String> lostWrites(List<RequestRecord> records, List<DatabaseHistory> histories) {
        Set<String> kept = new HashSet<>();
        histories.stream()
                .filter(DatabaseHistory::currentPrimary)
                .forEach(history -> kept.addAll(history.appliedWrites()));
        return records.stream()
                .filter(RequestRecord::isAcknowledgedWrite)
                .flatMap(request -> request.operation().statements().stream())
                .filter(statement -> !kept.contains(statement))
                .toList();
    }

    /**
     * Checks the histories of a run.
     *
     * @param records the records of the run
     * @param histories the histories of all databases, taken after the last request has ended
     * @param keys the keys that callers presented
     * @return what was broken
     */
    public static List<BrokenInvariant> check(
            List<RequestRecord> records, List<DatabaseHistory> histories, Set<String> keys) {
        List<BrokenInvariant> broken = new ArrayList<>();
        for (String lost : lostWrites(records, histories)) {
            broken.add(new BrokenInvariant(Guarantee.ACKNOWLEDGED_WRITE_KEPT, lost + " is in no primary's log"));
        }
        Map<String, Integer> mostRuns = mostRuns(histories);
        records.forEach(request -> checkRuns(request, mostRuns, broken));
        for (DatabaseHistory history : histories) {
            checkTransactions(history, broken);
            checkKeys(history, keys, broken);
        }
        return broken;
    }

    /** Counts for each text how often one log holds it, in the log that holds it most often. */
    private static Map<String, Integer> mostRuns(List<DatabaseHistory> histories) {
        Map<String, Integer> most = new HashMap<>();
        for (DatabaseHistory history : histories) {
            Map<String, Integer> runs = new HashMap<>();
            history.appliedWrites().forEach(text -> runs.merge(text, 1, Integer::sum));
            runs.forEach((text, count) -> most.merge(text, count, Math::max));
        }
        return most;
    }

    private static void checkRuns(RequestRecord request, Map<String, Integer> mostRuns, List<BrokenInvariant> broken) {
        if (!request.operation().isWrite()) {
            return;
        }
        for (String statement : request.operation().statements()) {
            int runs = mostRuns.getOrDefault(statement, 0);
            if (runs > 1 && !request.operation().isRepeatable()) {
                broken.add(new BrokenInvariant(Guarantee.AT_MOST_ONCE, statement + " ran " + runs + " times"));
            }
            if (runs > 0 && request.result() instanceof CallResult.NotRun notRun) {
                broken.add(new BrokenInvariant(
                        Guarantee.NOT_RUN_IS_TRUE, statement + " ran, but was refused with " + notRun.reason()));
            }
        }
        checkWhole(request, mostRuns, broken);
    }

    private static void checkWhole(RequestRecord request, Map<String, Integer> mostRuns, List<BrokenInvariant> broken) {
        List<String> statements = request.operation().statements();
        long present = statements.stream().filter(mostRuns::containsKey).count();
        if (present != 0 && present != statements.size()) {
            broken.add(new BrokenInvariant(
                    Guarantee.TRANSACTIONS_APART,
                    "only " + present + " of " + statements.size() + " statements ran of the transaction of "
                            + statements.getFirst()));
        }
    }

    /** Between begin and end of a transaction, one connection carries statements of one customer only. */
    private static void checkTransactions(DatabaseHistory history, List<BrokenInvariant> broken) {
        Map<String, String> openFor = new HashMap<>();
        for (ReceivedStatement statement : history.received()) {
            String customer = openFor.get(statement.getConnection());
            switch (statement.getStatement()) {
                case "BEGIN" -> openFor.put(statement.getConnection(), statement.getCustomer());
                case "COMMIT", "ROLLBACK" -> openFor.remove(statement.getConnection());
                default -> {
                    if (customer != null && !customer.equals(statement.getCustomer())) {
                        broken.add(new BrokenInvariant(
                                Guarantee.TRANSACTIONS_APART,
                                "connection " + statement.getConnection() + " mixed " + customer + " and "
                                        + statement.getCustomer()));
                    }
                }
            }
        }
    }

    private static void checkKeys(DatabaseHistory history, Set<String> keys, List<BrokenInvariant> broken) {
        boolean seen = history.received().stream()
                .anyMatch(statement -> keys.stream()
                        .anyMatch(key -> statement.getStatement().contains(key)
                                || statement.getCustomer().contains(key)));
        if (seen) {
            broken.add(new BrokenInvariant(
                    Guarantee.NO_KEY_AT_BACKEND, history.backendServer() + " received a caller's key"));
        }
    }
}
