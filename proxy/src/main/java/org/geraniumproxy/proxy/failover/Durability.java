package org.geraniumproxy.proxy.failover;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/** Tells when a committed write is on a majority of the databases of its group and may be acknowledged. */
public interface Durability {
    /**
     * Waits until a write is on a majority of the group's databases under its own term.
     *
     * @param group the group
     * @param write term and position at which the primary committed the write
     * @param deadline moment at which the caller stops waiting
     * @return true if the write may be acknowledged, false if that was not proven before the deadline or the term was
     *     replaced
     */
    CompletableFuture<Boolean> awaitDurable(GroupName group, LogPosition write, Instant deadline);

    /**
     * Waits until a database reports a position, to serve a read from a replica that is about to catch up.
     *
     * @param group the group
     * @param deadline moment at which the caller stops waiting
     * @return completes when the view of the group has changed or the deadline has passed
     */
    CompletableFuture<Void> awaitChange(GroupName group, Instant deadline);
}
