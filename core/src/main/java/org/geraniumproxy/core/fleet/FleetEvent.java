package org.geraniumproxy.core.fleet;

import java.util.Map;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.DatabaseHealth;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.service.ServiceConfiguration;

/** What the control thread learns. */
public sealed interface FleetEvent {
    /**
     * A version of the configuration.
     *
     * @param configuration the configuration
     */
    record ConfigurationReceived(ServiceConfiguration configuration) implements FleetEvent {}

    /**
     * All entries of databases.
     *
     * @param entries the entries by name
     */
    record DatabasesListed(Map<BackendServerName, DatabaseEntry> entries) implements FleetEvent {
        /** Copies the map. */
        public DatabasesListed {
            entries = Map.copyOf(entries);
        }
    }

    /**
     * The entry of one database changed.
     *
     * @param entry the entry
     */
    record DatabaseEntryChanged(DatabaseEntry entry) implements FleetEvent {}

    /**
     * The entry of a database is missing.
     *
     * @param database the database
     */
    record DatabaseEntryMissing(BackendServerName database) implements FleetEvent {}

    /**
     * All VMs that have joined.
     *
     * @param addresses their addresses for messages
     */
    record VmsListed(Map<VmName, String> addresses) implements FleetEvent {
        /** Copies the map. */
        public VmsListed {
            addresses = Map.copyOf(addresses);
        }
    }

    /**
     * Another VM sent a message.
     *
     * @param message the message
     */
    record PeerMessageReceived(PeerMessage message) implements FleetEvent {}

    /**
     * The traffic thread reports.
     *
     * @param demand operations per second that each customer asks for here
     * @param health how each database answers
     * @param newestTerms newest term of each group that a primary named
     * @param acknowledged position of each group up to which commits were acknowledged to callers of this VM
     */
    record TrafficReported(
            Map<CustomerName, Double> demand,
            Map<BackendServerName, DatabaseHealth> health,
            Map<GroupName, Long> newestTerms,
            Map<GroupName, LogPosition> acknowledged)
            implements FleetEvent {
        /** Copies the maps. */
        public TrafficReported {
            demand = Map.copyOf(demand);
            health = Map.copyOf(health);
            newestTerms = Map.copyOf(newestTerms);
            acknowledged = Map.copyOf(acknowledged);
        }
    }

    /**
     * A database that was believed to be the primary refused as a replica.
     *
     * @param group its group
     * @param database the database
     */
    record WriteRefusedByReplica(GroupName group, BackendServerName database) implements FleetEvent {}

    /**
     * This VM learned the primary of a group from its own order or from a database.
     *
     * @param group the group
     * @param claim the primary and its term
     */
    record PrimaryClaimed(GroupName group, PrimaryClaim claim) implements FleetEvent {}

    /** This process stops, and the balancer knows it: callers are asked to leave. */
    record CallerDrainStarted() implements FleetEvent {}
}
