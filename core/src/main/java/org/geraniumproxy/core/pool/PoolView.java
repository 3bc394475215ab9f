package org.geraniumproxy.core.pool;

import java.util.Optional;

/**
 * Capacity of a database.
 *
 * @param slots maximum number of statements that the database runs concurrently
 * @param connectionLimit maximum number of connections that the database accepts
 * @param connectionShare maximum number of connections of this VM
 * @param report last connection report of the database, or empty if there is none
 */
public record PoolView(int slots, int connectionLimit, int connectionShare, Optional<ConnectionReport> report) {}
