package org.geraniumproxy.measure.load;

import java.util.List;

/** Operation of a caller. Statements of writes are unique, so that a log shows how often each write was applied. */
public sealed interface Operation {
    /**
     * Writes the next value of a key that only this session writes; repeatable.
     *
     * @param key the key
     * @param sequence sequence number of the write, from 1, increasing with each write of the key
     */
    record PutNext(String key, long sequence) implements Operation {}

    /**
     * Adds one to a key that no other request uses; not repeatable. A second run is detected by a sum of two.
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
     * Counts the keys with a prefix.
     *
     * @param prefix the prefix of the keys
     */
    record CountKeys(String prefix) implements Operation {}

    /**
     * Adds one to each of several keys that no other request uses, in one transaction; not repeatable.
     *
     * @param keys the keys
     */
    record AddInTransaction(List<String> keys) implements Operation {
        /** Makes an unmodifiable copy of the keys. */
        public AddInTransaction {
            keys = List.copyOf(keys);
        }
    }

    /**
     * Returns the statements that execute the operation.
     *
     * @return one statement, or one per key for a transaction
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
     * Returns whether the operation writes.
     *
     * @return false for a read
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
     * Returns whether the operation may run more than once without changing its effect.
     *
     * @return true if it is idempotent
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
     * Returns the value that a write stores. It contains the key, so that an answer to another request is detected.
     *
     * @param key the key
     * @param sequence sequence number of the write
     * @return key and sequence number, separated by an equals sign
     */
    static String value(String key, long sequence) {
        return key + "=" + sequence;
    }
}
