package org.geraniumproxy.core.pool;

import java.time.Duration;

/**
 * What a VM knows about a database when it decides on slots and connections.
 *
 * @param slots statements that the VM runs there at once
 * @param connectionLimit most connections of this VM
 * @param connectionShare connections that this VM may keep while they are idle
 * @param surplusIdleTimeout time after which an idle connection beyond the share is closed
 */
public record CustomerPoolView(int slots, int connectionLimit, int connectionShare, Duration surplusIdleTimeout) {
    /**
     * Returns the view of a database whose connections are shared by some VMs.
     *
     * @param slots statements that the database runs at once
     * @param databaseConnectionLimit most connections from all VMs
     * @param vmCount number of VMs, at least one
     * @param surplusIdleTimeout time after which an idle connection beyond the share is closed
     * @return the view: an equal share to keep, and while they are used the connections that the division leaves over
     */
    public static CustomerPoolView of(
            int slots, int databaseConnectionLimit, int vmCount, Duration surplusIdleTimeout) {
        int share = Math.max(1, databaseConnectionLimit / vmCount);
        int remainder = Math.max(1, databaseConnectionLimit - share * vmCount);
        return new CustomerPoolView(
                Math.max(1, slots), Math.min(databaseConnectionLimit, share + remainder), share, surplusIdleTimeout);
    }
}
