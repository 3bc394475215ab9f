package org.geraniumproxy.core.memory;

import java.time.Instant;

/**
 * Memory that one connection makes the process hold.
 *
 * @param id identifier that is unique among the holders
 * @param bytes bytes held
 * @param receivesMessage whether a message has begun to arrive and is not complete
 * @param closable whether the connection may be closed for the sake of others; false while a database works for it
 * @param lastProgressAt time at which its peer last sent or accepted bytes
 */
public record MemoryHolder(long id, long bytes, boolean receivesMessage, boolean closable, Instant lastProgressAt) {}
