package org.geraniumproxy.core.pool;

import java.util.Optional;

/**
 * What a VM knows about a database when it decides on slots and connections.
 *
 * @param slots statements that the database runs at once
 * @param connectionLimit connections that the database accepts
 * @param connectionShare connections that this VM may hold
 * @param report last report of the database
 */
public record PoolView(int slots, int connectionLimit, int connectionShare, Optional<ConnectionReport> report) {}
