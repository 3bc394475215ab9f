package org.geraniumproxy.engine.traffic;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;

/** Receives what the traffic thread learns; called on the traffic thread. */
public interface TrafficObserver {
    /**
     * A report at a regular interval.
     *
     * @param report the report
     */
    void onReport(TrafficReport report);

    /**
     * A database that was believed to be the primary refused as a replica.
     *
     * @param group its group
     * @param database the database
     */
    void onNotPrimary(GroupName group, BackendServerName database);
}
