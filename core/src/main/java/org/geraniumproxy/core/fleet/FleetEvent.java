package org.geraniumproxy.core.fleet;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.CallerDrain;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.DatabaseHealth;
import org.geraniumproxy.core.directory.GroupMembers;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.promotion.PromotionIntent;
import org.geraniumproxy.core.service.ServiceConfiguration;

/** Inputs of the control thread. */
public sealed interface FleetEvent {
    /**
     * A version of the configuration was read from the store or from another VM.
     *
     * @param configuration may be older than the known one
     */
    record ConfigurationReceived(ServiceConfiguration configuration) implements FleetEvent {}

    /**
     * The store listed all database entries. Databases that aren't listed are marked as missing.
     *
     * @param entries entries by database name
     */
    record DatabasesListed(Map<BackendServerName, DatabaseEntry> entries) implements FleetEvent {
        /** Copies the map. */
        public DatabasesListed {
            entries = Map.copyOf(entries);
        }
    }

    /**
     * The store reported a new or changed database entry.
     *
     * @param entry the new entry
     */
    record DatabaseEntryChanged(DatabaseEntry entry) implements FleetEvent {}

    /**
     * A database entry expired or was deleted.
     *
     * @param database database whose entry is missing
     */
    record DatabaseEntryMissing(BackendServerName database) implements FleetEvent {}

    /**
     * The store listed the keys with which the operator orders evacuations. They replace the known ones.
     *
     * @param revision store revision at which the list was valid
     * @param failureDomains failure domains named by the keys, known or not
     */
    record EvacuationsListed(StoreRevision revision, Set<FailureDomain> failureDomains) implements FleetEvent {
        /** Copies the set. */
        public EvacuationsListed {
            failureDomains = Set.copyOf(failureDomains);
        }
    }

    /**
     * The store reported that the operator ordered or ended evacuations.
     *
     * @param changes changes in the order of their revisions
     */
    record EvacuationsChanged(List<EvacuationChange> changes) implements FleetEvent {
        /** Copies the list. */
        public EvacuationsChanged {
            changes = List.copyOf(changes);
        }
    }

    /** The store answered a watch; all changes before it are known. */
    record StoreAnswered() implements FleetEvent {}

    /**
     * The store listed all VMs of the fleet.
     *
     * @param addresses host and port for peer messages, by VM
     * @param regions regions of the VMs that stated one
     * @param failureDomains failure domains of the VMs that stated one
     */
    record VmsListed(
            Map<VmName, String> addresses, Map<VmName, RegionName> regions, Map<VmName, FailureDomain> failureDomains)
            implements FleetEvent {
        /** Copies the maps. */
        public VmsListed {
            addresses = Map.copyOf(addresses);
            regions = Map.copyOf(regions);
            failureDomains = Map.copyOf(failureDomains);
        }

        /**
         * Creates a list of VMs that state no failure domain.
         *
         * @param addresses host and port for peer messages, by VM
         * @param regions regions of the VMs that stated one
         */
        public VmsListed(Map<VmName, String> addresses, Map<VmName, RegionName> regions) {
            this(addresses, regions, Map.of());
        }
    }

    /**
     * The store confirmed the registration of this VM.
     *
     * @param sentAt time at which the confirmed call was sent
     */
    record RegistrationConfirmed(Instant sentAt) implements FleetEvent {}

    /**
     * The promotion lease has another holder.
     *
     * @param holder the holder, empty if there is none
     */
    record PromotionLeaseMoved(Optional<VmName> holder) implements FleetEvent {}

    /**
     * A request for the configuration of another VM has ended. A configuration that it brought was received before.
     *
     * @param vm VM that the request was sent to
     */
    record ConfigurationFetchEnded(VmName vm) implements FleetEvent {}

    /**
     * A message of another VM arrived.
     *
     * @param message state of the sender
     */
    record PeerMessageReceived(PeerMessage message) implements FleetEvent {}

    /**
     * The traffic thread published its periodic report.
     *
     * @param health how each database has responded to this VM
     * @param newestTerms newest term of each group that a primary reported
     * @param acknowledged last position of each group that was acknowledged to callers of this VM
     * @param enforced newest promotion of each group that the traffic thread enforces
     * @param primaryPositions newest position of each primary that this VM has read
     */
    record TrafficReported(
            Map<BackendServerName, DatabaseHealth> health,
            Map<GroupName, Long> newestTerms,
            Map<GroupName, LogPosition> acknowledged,
            Map<GroupName, String> enforced,
            Map<GroupName, PrimaryPositionHistory.Sample> primaryPositions)
            implements FleetEvent {
        /** Copies the maps. */
        public TrafficReported {
            health = Map.copyOf(health);
            newestTerms = Map.copyOf(newestTerms);
            acknowledged = Map.copyOf(acknowledged);
            enforced = Map.copyOf(enforced);
            primaryPositions = Map.copyOf(primaryPositions);
        }

        /**
         * Creates a report of a VM that has read no position of a primary.
         *
         * @param health how each database has responded to this VM
         * @param newestTerms newest term of each group that a primary reported
         * @param acknowledged last position of each group that was acknowledged to callers of this VM
         * @param enforced newest promotion of each group that the traffic thread enforces
         */
        public TrafficReported(
                Map<BackendServerName, DatabaseHealth> health,
                Map<GroupName, Long> newestTerms,
                Map<GroupName, LogPosition> acknowledged,
                Map<GroupName, String> enforced) {
            this(health, newestTerms, acknowledged, enforced, Map.of());
        }
    }

    /**
     * The store reported which databases of a group may have confirmed commits.
     *
     * @param group group of the databases
     * @param members databases that were recorded, also those whose entry has expired since
     */
    record MembersRecorded(GroupName group, GroupMembers members) implements FleetEvent {}

    /**
     * A database that was taken for the primary refused a write because it is a replica.
     *
     * @param group group of the database
     * @param database database that refused the write
     */
    record WriteRefusedByReplica(GroupName group, BackendServerName database) implements FleetEvent {}

    /**
     * A database reported its term in a status. A command with a term that is not above it is not carried out.
     *
     * @param group group of the database
     * @param term newest term that the database knows
     */
    record TermReported(GroupName group, long term) implements FleetEvent {}

    /**
     * This VM learned a promotion intent of a group.
     *
     * @param group group of the intent
     * @param intent newest intent
     * @param revision revision of the store at which it was recorded
     */
    record PromotionIntentLearned(GroupName group, PromotionIntent intent, StoreRevision revision)
            implements FleetEvent {}

    /**
     * This VM learned the primary of a group from its own promotion or from a database.
     *
     * @param group group of the primary
     * @param claim primary and its term
     */
    record PrimaryClaimed(GroupName group, PrimaryClaim claim) implements FleetEvent {}

    /**
     * This process is stopping, so the sessions are ended once the load balancer has removed it.
     *
     * @param drain times by which they must have ended
     */
    record StopSignalled(CallerDrain drain) implements FleetEvent {}
}
