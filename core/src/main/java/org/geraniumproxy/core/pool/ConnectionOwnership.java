package org.geraniumproxy.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.VmLocation;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.RendezvousHash;

/**
 * Which VMs own the connections to a database. All VMs that read the same registrations agree. Two VMs that don't agree
 * may both act as owners: each keeps to its share, and the database enforces its own limit.
 */
public final class ConnectionOwnership {
    /** Size of the fleet up to which each VM uses connections of its own. */
    public static final int MAXIMUM_DIVIDED_VMS = 8;

    /** One owner may fail at any time. */
    static final int OWNERS = 2;

    /** Part of the connections that the VMs use directly: for probes, and while the owners are unreachable. */
    private static final int RESERVE_DIVISOR = 8;

    private static final int MINIMUM_RESERVE = 2;

    private final VmName self;
    private final Set<VmName> members;
    private final Map<FailureDomain, Set<VmName>> membersByDomain = new HashMap<>();
    private final Map<RegionName, Set<VmName>> membersByRegion = new HashMap<>();
    private final Map<FailureDomain, RegionName> regions = new HashMap<>();

    /**
     * Creates the ownership that follows from registrations.
     *
     * @param self name of this VM
     * @param members registered VMs
     * @param locations locations of the members that stated one
     */
    public ConnectionOwnership(VmName self, Set<VmName> members, Map<VmName, VmLocation> locations) {
        this.self = self;
        this.members = Set.copyOf(members);
        // Sorted, so that all VMs take the region of a failure domain from the same member if members contradict.
        for (VmName member : new TreeSet<>(members)) {
            VmLocation location = locations.getOrDefault(member, VmLocation.UNKNOWN);
            location.failureDomain()
                    .ifPresent(domain -> membersByDomain
                            .computeIfAbsent(domain, _ -> new HashSet<>())
                            .add(member));
            location.region()
                    .ifPresent(region -> membersByRegion
                            .computeIfAbsent(region, _ -> new HashSet<>())
                            .add(member));
            location.failureDomain()
                    .ifPresent(domain -> location.region().ifPresent(region -> regions.putIfAbsent(domain, region)));
        }
    }

    /**
     * Returns the ownership of a VM that knows no other one.
     *
     * @param self name of the VM
     * @return ownership under which the VM uses connections of its own
     */
    public static ConnectionOwnership alone(VmName self) {
        return new ConnectionOwnership(self, Set.of(self), Map.of());
    }

    /**
     * Returns whether the connections to a database are shared. They are if an equal division among the VMs gives each
     * of them fewer connections than the database has slots.
     *
     * @param slots number of statements that the database runs concurrently
     * @param connectionLimit number of connections that the database accepts
     * @return true if a few VMs own the connections
     */
    public boolean isShared(int slots, int connectionLimit) {
        return members.size() > MAXIMUM_DIVIDED_VMS && connectionLimit / members.size() < slots;
    }

    /**
     * Returns this VM's part in the use of a database.
     *
     * @param database entry of the database
     * @param connectionLimit number of connections that the database accepts
     * @return the role
     */
    public ConnectionRole role(DatabaseEntry database, int connectionLimit) {
        if (!isShared(database.slots(), connectionLimit)) {
            return new ConnectionRole.Divided();
        }
        List<VmName> owners = owners(database);
        if (owners.isEmpty()) {
            return new ConnectionRole.Divided();
        }
        return owners.contains(self)
                ? new ConnectionRole.Owner(share(connectionLimit), owners)
                : new ConnectionRole.User(owners);
    }

    /**
     * Returns the owners of a database: first the members in its failure domain, then those in its region. A short way
     * to the database keeps the time between a release and the next statement short. VMs in other regions own nothing,
     * because the text of a statement must reach no region that its route or customer doesn't allow.
     *
     * @param database entry of the database
     * @return at most two VMs, the preferred one first; empty if no member is known in the region of the database
     */
    public List<VmName> owners(DatabaseEntry database) {
        FailureDomain domain = database.failureDomain();
        Set<VmName> inRegion = Optional.ofNullable(regions.get(domain))
                .map(membersByRegion::get)
                .orElse(Set.of());
        Set<VmName> owners = new LinkedHashSet<>();
        for (Set<VmName> circle : List.of(membersByDomain.getOrDefault(domain, Set.of()), inRegion)) {
            if (owners.size() < OWNERS) {
                RendezvousHash.rank("connections/" + database.name().value(), circle, VmName::value).stream()
                        .filter(vm -> !owners.contains(vm))
                        .limit((long) OWNERS - owners.size())
                        .toList()
                        .forEach(owners::add);
            }
        }
        return List.copyOf(owners);
    }

    /**
     * Returns the number of connections that the VMs may use without an owner.
     *
     * @param connectionLimit number of connections that the database accepts
     * @return connections that no owner uses
     */
    static int reserve(int connectionLimit) {
        return Math.max(MINIMUM_RESERVE, connectionLimit / RESERVE_DIVISOR);
    }

    /**
     * Returns the number of connections of one owner.
     *
     * @param connectionLimit number of connections that the database accepts
     * @return equal share of the connections that are not reserved, at least 1
     */
    static int share(int connectionLimit) {
        return Math.max(1, (connectionLimit - reserve(connectionLimit)) / OWNERS);
    }
}
