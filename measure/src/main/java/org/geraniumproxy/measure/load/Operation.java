package org.geraniumproxy.measure.load;

import java.util.List;

/** What a caller wants done. The texts of writes are unique, so that a log shows how often each of them was applied. */
public sealed interface Operation {
    /**
     * Writes the next value of a key that only this session writes. Repeatable.
     *
     * @param key the key
     * @param sequence number of the write, growing with each write of the key, at least one
     */
    record PutNext(String key, long sequence) implements Operation {}

    /**
     * Adds one to a key that no other request uses. Not repeatable: a second run shows as a sum of two.
     *
     * @param key the key
     */
    record AddOnce(String key) implements Operation {}

    /**
     * Reads a key that this session writes.
     *
     * @param key the key
     */
    record ReadOwn(String key) implements Operation {}

    /**
     * Counts keys; the answer is a number.
     *
     * @param prefix the prefix of the keys
     */
    record CountKeys(String prefix) implements Operation {}

    /**
     * Adds one to each of several keys that no other request uses, in one transaction. Not repeatable.
     *
     * @param keys the keys
     */
    record AddInTransaction(List<String> keys) implements Operation {
        /** Copies the keys. */
        public AddInTransaction {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Returns the statements that carry the operation out.
     *
     * @return one statement, or several for a transaction
     */
    default List<String> statements() {
        return switch (this) {
            case PutNext put -> List.of("PUT " + put.key() + " " + value(put.key(), put.sequence()));
            case AddOnce add -> List.of("ADD " + add.key() + " 1");
            case ReadOwn read -> List.of("GET " + read.key());
            case CountKeys count -> List.of("COUNT " + count.prefix());
            case AddInTransaction add ->
                add.keys().stream().map(key -> "ADD " + key + " 1").toList();
        };
    }

    /**
     * Tells whether the operation writes.
     *
     * @return true if it does
     */
    default boolean isWrite() {
        return switch (this) {
            case PutNext put -> true;
            case AddOnce add -> true;
            case AddInTransaction add -> true;
            case ReadOwn read -> false;
            case CountKeys count -> false;
        };
    }

    /**
     * Tells whether the operation may run more than once without harm.
     *
     * @return true if it may
     */
    default boolean isRepeatable() {
        return switch (this) {
            case PutNext put -> true;
            case ReadOwn read -> true;
            case CountKeys count -> true;
            case AddOnce add -> false;
            case AddInTransaction add -> false;
        };
    }

    /**
     * Returns the value that a write of a sequence number leaves. It names its key, so that a swapped answer shows.
     *
     * @param key the key
     * @param sequence number of the write
     * @return the value
     */
    static String value(String key, long sequence) {
        return key + "=" + sequence;
    }
}
