package org.geraniumproxy.engine.traffic;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;

/** Receives observations of the traffic thread. Called on that thread. */
public interface TrafficObserver {
    /**
     * Called at a regular interval.
     *
     * @param report current state of the traffic
     */
    void onReport(TrafficReport report);

    /**
     * Called when the database that this VM considered the primary refused a command because it is a replica.
     *
     * @param group group of the database
     * @param database database that refused the command
     */
    void onNotPrimary(GroupName group, BackendServerName database);
}
