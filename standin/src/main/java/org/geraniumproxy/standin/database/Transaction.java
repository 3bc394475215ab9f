package org.geraniumproxy.standin.database;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.Term;

/** The uncommitted writes of a transaction. They are visible only within it. Not thread-safe. */
final class Transaction {
    /**
     * An uncommitted write.
     *
     * @param statement the statement
     * @param text text of the statement
     */
    record PendingWrite(Statement statement, String text) {}

    private final Term term;
    private final List<PendingWrite> writes = new ArrayList<>();
    private final Map<String, String> uncommittedValues = new HashMap<>();

    Transaction(Term term) {
        this.term = term;
    }

    Term term() {
        return term;
    }

    List<PendingWrite> writes() {
        return List.copyOf(writes);
    }

    Optional<String> value(DatabaseLog log, String key) {
        return Optional.ofNullable(uncommittedValues.get(key)).or(() -> log.value(key));
    }

    long count(DatabaseLog log, String prefix) {
        long committed = log.values().keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .count();
        long added = uncommittedValues.keySet().stream()
                .filter(key -> key.startsWith(prefix))
                .filter(key -> !log.values().containsKey(key))
                .count();
        return committed + added;
    }

    void add(PendingWrite write, String key, String value) {
        writes.add(write);
        uncommittedValues.put(key, value);
    }
}
