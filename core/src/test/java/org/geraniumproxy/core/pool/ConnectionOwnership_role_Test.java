package org.geraniumproxy.core.pool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.VmLocation;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against VMs that disagree on the owners, and against owners that exceed the connections of a database. */
class ConnectionOwnership_role_Test {
    private static final int SLOTS = 5;
    private static final int CONNECTIONS = 82;

    @Test
    void should_divide_the_connections_when_the_fleet_is_small_or_they_suffice() {
        assertThat(fleet(8, VmName.of("vm-1")).role(database("a"), 10), instanceOf(ConnectionRole.Divided.class));
        assertThat(
                fleet(16, VmName.of("vm-1")).role(database("a"), CONNECTIONS),
                instanceOf(ConnectionRole.Divided.class));
    }

    @Test
    void should_choose_two_owners_in_the_failure_domain_of_the_database_on_all_vms() {
        for (int size : List.of(36, 83, 300)) {
            List<VmName> owners = fleet(size, VmName.of("vm-1")).owners(database("a"));
            assertThat(owners.size(), is(2));
            int connections = 0;
            for (VmName vm : members(size)) {
                ConnectionRole role = fleet(size, vm).role(database("a"), CONNECTIONS);
                assertThat(role.candidates(), is(owners));
                assertThat(role.isOwner(), is(owners.contains(vm)));
                connections += role instanceof ConnectionRole.Owner owner ? owner.connections() : 0;
            }
            assertThat(connections + ConnectionOwnership.reserve(CONNECTIONS), lessThanOrEqualTo(CONNECTIONS));
            for (VmName owner : owners) {
                assertThat(location(owner).failureDomain(), is(Optional.of(FailureDomain.of("a"))));
            }
        }
    }

    /** Guards against statements whose text reaches a region that their route doesn't allow. */
    @Test
    void should_prefer_the_failure_domain_then_the_region_and_use_no_vm_elsewhere() {
        Map<VmName, VmLocation> locations = new HashMap<>();
        Set<VmName> members = members(12);
        VmName inDomain = VmName.of("vm-3");
        VmName inRegion = VmName.of("vm-7");
        locations.put(inDomain, location("a", "north"));
        locations.put(inRegion, location("b", "north"));
        ConnectionOwnership ownership = new ConnectionOwnership(inDomain, members, locations);
        assertThat(ownership.owners(database("a")), contains(inDomain, inRegion));
        ConnectionOwnership elsewhere = new ConnectionOwnership(
                inDomain, members, Map.of(inDomain, location("c", "south"), inRegion, location("d", "south")));
        assertThat(elsewhere.owners(database("a")), is(List.of()));
        assertThat(elsewhere.role(database("a"), 10), instanceOf(ConnectionRole.Divided.class));
    }

    private static ConnectionOwnership fleet(int size, VmName self) {
        Map<VmName, VmLocation> locations = new HashMap<>();
        members(size).forEach(vm -> locations.put(vm, location(vm)));
        return new ConnectionOwnership(self, members(size), locations);
    }

    private static VmLocation location(VmName vm) {
        int number = Integer.parseInt(vm.value().substring("vm-".length()));
        return location(Character.toString('a' + number % 6), "region-" + number % 3);
    }

    private static VmLocation location(String domain, String region) {
        return new VmLocation(Optional.of(FailureDomain.of(domain)), Optional.of(RegionName.of(region)));
    }

    private static Set<VmName> members(int size) {
        Set<VmName> members = new HashSet<>();
        for (int number = 1; number <= size; number++) {
            members.add(VmName.of("vm-" + number));
        }
        return members;
    }

    private static DatabaseEntry database(String domain) {
        return new DatabaseEntry(
                BackendServerName.of("db-1"),
                GroupName.of("entries"),
                "10.0.0.1:1",
                FailureDomain.of(domain),
                SLOTS,
                false,
                true,
                1,
                1,
                new StoreRevision(1, 1));
    }
}
