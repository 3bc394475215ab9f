package org.geraniumproxy.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.VmLocation;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.RendezvousHash;

/**
 * Which VMs own the connections to a database. All VMs that read the same registrations agree. Two VMs that don't agree
 * may both act as owners: each keeps to its share, and the database enforces its own limit.
 *
 * @param self name of this VM
 * @param members registered VMs
 * @param locations locations of the members that stated one
 */
public record ConnectionOwnership(VmName self, Set<VmName> members, Map<VmName, VmLocation> locations) {
    /** Size of the fleet up to which each VM uses connections of its own. */
    public static final int MAXIMUM_DIVIDED_VMS = 8;

    /** One owner may fail at any time. */
    static final int OWNERS = 2;

    /** Part of the connections that the VMs use directly: for probes, and while the owners are unreachable. */
    private static final int RESERVE_DIVISOR = 8;

    private static final int MINIMUM_RESERVE = 2;

    /** Copies the collections. */
    public ConnectionOwnership {
        members = Set.copyOf(members);
        locations = Map.copyOf(locations);
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
        return owners.contains(self)
                ? new ConnectionRole.Owner(share(connectionLimit), owners)
                : new ConnectionRole.User(owners);
    }

    /**
     * Returns the owners of a database: first the members in its failure domain, then those in its region, then all
     * others. A short way to the database keeps the time between a release and the next statement short.
     *
     * @param database entry of the database
     * @return two VMs, the preferred one first
     */
    List<VmName> owners(DatabaseEntry database) {
        FailureDomain domain = database.failureDomain();
        Optional<RegionName> region = regionOf(domain);
        Set<VmName> owners = new LinkedHashSet<>();
        List<Predicate<VmName>> circles = List.of(
                vm -> location(vm).failureDomain().filter(domain::equals).isPresent(),
                vm -> region.isPresent() && location(vm).region().equals(region),
                _ -> true);
        for (Predicate<VmName> circle : circles) {
            if (owners.size() < OWNERS) {
                List<VmName> candidates = new ArrayList<>(members);
                candidates.removeIf(vm -> !circle.test(vm) || owners.contains(vm));
                RendezvousHash.rank("connections/" + database.name().value(), candidates, VmName::value).stream()
                        .limit(OWNERS - owners.size())
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

    /** Returns the region that the VMs of a failure domain state; the first VM by name decides if they differ. */
    private Optional<RegionName> regionOf(FailureDomain domain) {
        return locations.entrySet().stream()
                .filter(vm -> members.contains(vm.getKey()))
                .filter(vm ->
                        vm.getValue().failureDomain().filter(domain::equals).isPresent())
                .filter(vm -> vm.getValue().region().isPresent())
                .min(Comparator.comparing(Map.Entry::getKey))
                .flatMap(vm -> vm.getValue().region());
    }

    private VmLocation location(VmName vm) {
        return locations.getOrDefault(vm, VmLocation.UNKNOWN);
    }
}
