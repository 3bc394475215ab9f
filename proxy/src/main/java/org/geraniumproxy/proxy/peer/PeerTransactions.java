package org.geraniumproxy.proxy.peer;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.proxy.traffic.TransactionStart;

/** Begins transactions at other VMs. */
@FunctionalInterface
public interface PeerTransactions {
    /**
     * Begins a transaction at a coordinator.
     *
     * @param vm the coordinator
     * @param request the request that begins it; its deadline is that of the whole transaction
     * @return the transaction or the refusal; never completes exceptionally
     */
    CompletableFuture<TransactionStart> begin(Vm vm, GroupRequest request);
}
