package org.geraniumproxy.core.memory;

import java.time.Instant;

/**
 * Memory that one connection makes the process hold.
 *
 * @param id identifier that is unique among the holders
 * @param kind peer of the connection
 * @param bytes bytes held
 * @param receivesMessage whether a message has begun to arrive and is not complete
 * @param closable whether the connection may be closed for the sake of others; false while a database works for it
 * @param lastProgressAt time at which its peer last sent or accepted bytes
 */
public record MemoryHolder(
        long id, Kind kind, long bytes, boolean receivesMessage, boolean closable, Instant lastProgressAt) {
    /** Peer of a connection. */
    public enum Kind {
        /** Caller, which may send more than it should. */
        CALLER,
        /** Database, whose replies are collected for a caller that waits for them. */
        DATABASE
    }
}
