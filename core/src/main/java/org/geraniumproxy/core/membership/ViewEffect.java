package org.geraniumproxy.core.membership;

import org.geraniumproxy.core.identity.VmName;

/** Side effects that keep the view of a VM current. */
public sealed interface ViewEffect {
    /**
     * Sends a view exchange to a peer.
     *
     * @param vm peer to ask
     */
    record ExchangeWithPeer(Vm vm) implements ViewEffect {}

    /** Keeps one pending watch each on the manifest and the roster in the store. */
    record WatchStore() implements ViewEffect {}

    /**
     * Removes a VM that is down from the roster.
     *
     * @param vm name of the VM
     * @param incarnation incarnation that is down, so that a restarted process is not removed
     */
    record RemoveVm(VmName vm, long incarnation) implements ViewEffect {}
}
