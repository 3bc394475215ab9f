package org.geraniumproxy.control;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.membership.Vm;

/** Asks VMs for their status. */
interface NodeStatusClient extends AutoCloseable {
    /**
     * Asks a VM.
     *
     * @param vm the VM
     * @return its status; the future fails if the VM does not answer in time or another VM answers at its address
     */
    CompletableFuture<NodeStatus> status(Vm vm);

    @Override
    void close();
}
