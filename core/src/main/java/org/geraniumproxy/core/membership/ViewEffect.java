package org.geraniumproxy.core.membership;

import org.geraniumproxy.core.identity.VmName;

/** What a VM does to keep its view current. */
public sealed interface ViewEffect {
    /**
     * Exchange views with a peer.
     *
     * @param vm the peer
     */
    record ExchangeWithPeer(Vm vm) implements ViewEffect {}

    /** Keep one watch on the manifest and one on the roster waiting at the store. */
    record WatchStore() implements ViewEffect {}

    /**
     * Remove a VM that is down from the roster.
     *
     * @param vm its name
     * @param incarnation its incarnation, so that a restarted process is not removed
     */
    record RemoveVm(VmName vm, long incarnation) implements ViewEffect {}
}
