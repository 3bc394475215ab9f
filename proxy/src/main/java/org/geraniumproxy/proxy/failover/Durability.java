package org.geraniumproxy.proxy.failover;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/** Waits until committed writes are replicated to a majority of their group, so that they may be acknowledged. */
public interface Durability {
    /**
     * Waits until a write is replicated to a majority of the group's databases under its own term.
     *
     * @param group the group that committed the write
     * @param write term and position at which the primary committed the write
     * @param deadline moment at which the caller stops waiting
     * @return true if the write may be acknowledged, false if that was not proven before the deadline or the term was
     *     replaced
     */
    CompletableFuture<Boolean> awaitDurable(GroupName group, LogPosition write, Instant deadline);

    /**
     * Waits for the next change of the view of a group, such as a replica that reports a higher position. A read that
     * needs a replica to catch up waits with it.
     *
     * @param group the group that the read goes to
     * @param deadline moment at which the caller stops waiting
     * @return completes when the view of the group has changed or the deadline has passed
     */
    CompletableFuture<Void> awaitChange(GroupName group, Instant deadline);
}
