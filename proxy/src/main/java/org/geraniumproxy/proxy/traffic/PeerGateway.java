package org.geraniumproxy.proxy.traffic;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;

/** The way to coordinators on other VMs. */
public interface PeerGateway {
    /**
     * Forwards a request.
     *
     * @param vm the coordinator
     * @param request the request
     * @return the result; never completes exceptionally
     */
    CompletableFuture<GroupResult> forward(Vm vm, GroupRequest request);

    /**
     * Begins a transaction.
     *
     * @param vm the coordinator
     * @param request the request that begins it
     * @return the transaction or the refusal; never completes exceptionally
     */
    CompletableFuture<TransactionStart> begin(Vm vm, GroupRequest request);
}
