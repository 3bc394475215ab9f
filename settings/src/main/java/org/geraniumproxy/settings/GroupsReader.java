package org.geraniumproxy.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;

/** Reads the database groups of a configuration file. */
final class GroupsReader {
    private static final int MAXIMUM_CONNECTIONS = 100_000;

    private final FindingCollector findings;
    private final UniqueValues serverNames;
    private final UniqueValues serverAddresses;

    GroupsReader(FindingCollector findings) {
        this.findings = findings;
        this.serverNames = new UniqueValues("backend server", findings);
        this.serverAddresses = new UniqueValues("backend server address", findings);
    }

    Map<GroupName, DatabaseGroup> read(Map<String, TomlSection> sections) {
        Map<GroupName, DatabaseGroup> groups = new HashMap<>();
        sections.forEach((name, section) ->
                read(GroupName.of(name), section).ifPresent(group -> groups.put(group.name(), group)));
        return groups;
    }

    private Optional<DatabaseGroup> read(GroupName name, TomlSection section) {
        Optional<Integer> slots = section.required("slots", ValueTypes.integer(1, MAXIMUM_CONNECTIONS));
        // With fewer than three connections, a single standby connection is not less than half.
        Optional<Integer> connections = section.required("connections", ValueTypes.integer(3, MAXIMUM_CONNECTIONS));
        Optional<Integer> standbyConnections =
                section.required("standby-connections", ValueTypes.integer(1, MAXIMUM_CONNECTIONS));
        List<BackendServer> servers = readServers(section);
        section.reportUnknownNames();
        if (slots.isEmpty() || connections.isEmpty() || standbyConnections.isEmpty() || servers.isEmpty()) {
            return Optional.empty();
        }
        if (!checkConnectionLimits(section, slots.get(), connections.get(), standbyConnections.get())) {
            return Optional.empty();
        }
        return Optional.of(new DatabaseGroup(name, servers, slots.get(), connections.get(), standbyConnections.get()));
    }

    private boolean checkConnectionLimits(TomlSection section, int slots, int connections, int standbyConnections) {
        if (standbyConnections * 2 >= connections) {
            String expected = "less than half of the " + connections + " connections, at most " + (connections - 1) / 2;
            findings.add(
                    section.positionOf("standby-connections"),
                    new Problem.WrongValue("standby-connections", Integer.toString(standbyConnections), expected));
            return false;
        }
        int coordinatorConnections = connections - standbyConnections;
        if (slots > coordinatorConnections) {
            // Each running statement needs a connection, so additional slots could never be used.
            String expected = "at most the " + coordinatorConnections + " connections that are not held by the standby";
            findings.add(
                    section.positionOf("slots"), new Problem.WrongValue("slots", Integer.toString(slots), expected));
            return false;
        }
        return true;
    }

    private List<BackendServer> readServers(TomlSection section) {
        List<TomlSection> serverSections = section.sectionList("backend-servers");
        if (serverSections.isEmpty()) {
            findings.add(
                    section.positionOf("backend-servers"),
                    new Problem.MissingName("backend-servers", "at least one backend server"));
        }
        List<BackendServer> servers = new ArrayList<>();
        for (TomlSection serverSection : serverSections) {
            readServer(serverSection).ifPresent(servers::add);
        }
        return servers;
    }

    private Optional<BackendServer> readServer(TomlSection section) {
        Optional<BackendServerName> name = section.required("name", ValueTypes.name(BackendServerName::of));
        Optional<HostAndPort> address = section.required("address", ValueTypes.ADDRESS);
        Optional<RegionName> region = section.required("region", ValueTypes.name(RegionName::of));
        Optional<FailureDomain> failureDomain = section.required("failure-domain", ValueTypes.name(FailureDomain::of));
        section.reportUnknownNames();
        name.ifPresent(value -> serverNames.add(value.value(), section.positionOf("name")));
        address.ifPresent(value -> serverAddresses.add(value.toString(), section.positionOf("address")));
        if (name.isEmpty() || address.isEmpty() || region.isEmpty() || failureDomain.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new BackendServer(name.get(), address.get().toString(), region.get(), failureDomain.get()));
    }
}
