package org.geraniumproxy.engine.relay;

import java.util.LinkedHashMap;
import java.util.Optional;
import org.geraniumproxy.core.caller.ConnectionState;

/**
 * States of an owner's connections that the other side of a stream knows, so that an unchanged state isn't sent again:
 * with many prepared statements it has several kilobytes. Both sides record the same states in nearly the same order;
 * the entry VM keeps more of them, so that it has each one that the owner assumes it has.
 */
public final class KnownStates {
    /** More connections than an owner lends to one VM within a short time. */
    private static final int OWNER_CAPACITY = 256;

    private static final int ENTRY_CAPACITY = 4 * OWNER_CAPACITY;
    private static final float LOAD_FACTOR = 0.75f;

    private final int capacity;
    private final LinkedHashMap<Long, ConnectionState> states = new LinkedHashMap<>(16, LOAD_FACTOR, true);

    private KnownStates(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Creates the record of an owner.
     *
     * @return record without states
     */
    public static KnownStates ofOwner() {
        return new KnownStates(OWNER_CAPACITY);
    }

    /**
     * Creates the record of an entry VM.
     *
     * @return record without states
     */
    public static KnownStates ofEntryVm() {
        return new KnownStates(ENTRY_CAPACITY);
    }

    /**
     * Records a state that was sent or received.
     *
     * @param connection number of the connection
     * @param state its state
     */
    public void put(long connection, ConnectionState state) {
        states.put(connection, state);
        if (states.size() > capacity) {
            states.pollFirstEntry();
        }
    }

    /**
     * Returns the state that the other side knows.
     *
     * @param connection number of the connection
     * @return its state, empty if it isn't known
     */
    public Optional<ConnectionState> get(long connection) {
        return Optional.ofNullable(states.get(connection));
    }
}
