package org.geraniumproxy.proxy.traffic;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.routing.GroupRequest;

/** Begins transactions for the groups that this VM coordinates or stands by for. */
@FunctionalInterface
public interface GroupTransactionHandler {
    /**
     * Begins a transaction.
     *
     * @param request the request that begins it; its statement is empty and its deadline is that of the whole
     *     transaction
     * @return the transaction or the refusal; never completes exceptionally
     */
    CompletableFuture<TransactionStart> begin(GroupRequest request);
}
