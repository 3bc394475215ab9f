package org.geraniumproxy.core.pool;

import java.time.Duration;

/**
 * Capacity of a database for one VM.
 *
 * @param slots maximum number of statements that the VM runs concurrently, at least 1
 * @param connectionLimit maximum number of connections of this VM
 * @param connectionShare number of connections that this VM may keep while they are idle
 * @param surplusIdleTimeout idle time after which a connection beyond the share is closed
 * @param transactionsFirst whether requests that hold a connection come before those that need one
 */
public record CustomerPoolView(
        int slots, int connectionLimit, int connectionShare, Duration surplusIdleTimeout, boolean transactionsFirst) {
    /**
     * Slots that an owner grants for each slot of the database: a granted connection is idle until the commands of the
     * other VM arrive, and the database queues what exceeds its slots.
     */
    private static final int GRANTS_PER_SLOT = 2;

    /**
     * Connections that a VM opens without an owner. A probe needs one even while statements use the others; the VMs
     * together are held to the reserve by the limit of the database.
     */
    private static final int DIRECT_CONNECTIONS = 3;

    /**
     * Creates the view of a VM that serves waiting requests without regard to the connections that they hold.
     *
     * @param slots maximum number of statements that the VM runs concurrently, at least 1
     * @param connectionLimit maximum number of connections of this VM
     * @param connectionShare number of connections that this VM may keep while they are idle
     * @param surplusIdleTimeout idle time after which a connection beyond the share is closed
     */
    public CustomerPoolView(int slots, int connectionLimit, int connectionShare, Duration surplusIdleTimeout) {
        this(slots, connectionLimit, connectionShare, surplusIdleTimeout, false);
    }

    /**
     * Returns the view of an owner, which keeps its connections open for all VMs.
     *
     * @param slots number of statements that the database runs concurrently
     * @param connections number of connections of this owner
     * @param surplusIdleTimeout idle time after which a connection beyond the share is closed
     * @return the view
     */
    public static CustomerPoolView ofOwner(int slots, int connections, Duration surplusIdleTimeout) {
        return new CustomerPoolView(
                Math.max(1, slots) * GRANTS_PER_SLOT, connections, connections, surplusIdleTimeout, true);
    }

    /**
     * Returns the view of a VM that uses the connections of owners. It keeps no idle connection, because its own ones
     * belong to the reserve of all VMs.
     *
     * @param slots number of statements that the database runs concurrently
     * @param surplusIdleTimeout idle time after which a connection is closed
     * @return the view
     */
    public static CustomerPoolView ofUser(int slots, Duration surplusIdleTimeout) {
        return new CustomerPoolView(Math.max(1, slots), DIRECT_CONNECTIONS, 0, surplusIdleTimeout, true);
    }

    /**
     * Divides the connections of a database among VMs.
     *
     * @param slots maximum number of statements that the VM runs concurrently
     * @param databaseConnectionLimit maximum number of connections from all VMs
     * @param vmCount number of VMs, at least 1
     * @param surplusIdleTimeout idle time after which a connection beyond the share is closed
     * @return a view with an equal share of the connections; its limit adds the remainder of the division, which a VM
     *     may use but not keep idle. A share of one connection isn't kept idle either: it serves one customer and would
     *     keep the others of all VMs from opening theirs.
     */
    public static CustomerPoolView of(
            int slots, int databaseConnectionLimit, int vmCount, Duration surplusIdleTimeout) {
        int share = Math.max(1, databaseConnectionLimit / vmCount);
        int remainder = Math.max(1, databaseConnectionLimit - share * vmCount);
        boolean keepsIdle = share > 1 || vmCount == 1;
        return new CustomerPoolView(
                Math.max(1, slots),
                Math.min(databaseConnectionLimit, share + remainder),
                keepsIdle ? share : 0,
                surplusIdleTimeout);
    }
}
