package org.geraniumproxy.control;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.membership.Vm;

/** Queries the status of VMs. */
interface NodeStatusClient extends AutoCloseable {
    /**
     * Queries one VM.
     *
     * @param vm name and address of the VM
     * @return its status; the future fails if there is no reply in time or another VM replies at the address
     */
    CompletableFuture<NodeStatus> status(Vm vm);

    @Override
    void close();
}
