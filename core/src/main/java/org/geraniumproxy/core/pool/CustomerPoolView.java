package org.geraniumproxy.core.pool;

import java.time.Duration;

/**
 * What a VM knows about a database when it decides on slots and connections.
 *
 * @param slots statements that the VM runs there at once
 * @param connectionLimit most connections of this VM
 * @param connectionShare connections that this VM may keep while they are idle
 * @param surplusIdle time after which an idle connection beyond the share is closed
 */
public record CustomerPoolView(int slots, int connectionLimit, int connectionShare, Duration surplusIdle) {
    /**
     * Returns the view of a database whose connections are shared by some VMs.
     *
     * @param slots statements that the database runs at once
     * @param allConnections most connections from all VMs
     * @param vms number of VMs, at least one
     * @param surplusIdle time after which an idle connection beyond the share is closed
     * @return the view: an equal share to keep, and while they are used the connections that the division leaves over
     */
    public static CustomerPoolView of(int slots, int allConnections, int vms, Duration surplusIdle) {
        int share = Math.max(1, allConnections / vms);
        int leftOver = Math.max(1, allConnections - share * vms);
        return new CustomerPoolView(Math.max(1, slots), Math.min(allConnections, share + leftOver), share, surplusIdle);
    }
}
