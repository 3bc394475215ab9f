package org.geraniumproxy.measure.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.KnownConfiguration;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.ViewEvent;
import org.geraniumproxy.core.membership.ViewState;
import org.geraniumproxy.core.membership.ViewTransitions;
import org.geraniumproxy.core.membership.Vm;

/** Creates rosters, views, groups and configurations of a given size, with 3 regions and 7 failure domains. */
final class FleetInputs {
    static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static final int REGIONS = 3;
    private static final int FAILURE_DOMAINS = 7;
    private static final int DATABASES_PER_GROUP = 3;

    private FleetInputs() {}

    static Roster roster(int vmCount) {
        List<Vm> vms = new ArrayList<>();
        for (int index = 0; index < vmCount; index++) {
            vms.add(new Vm(
                    index,
                    vmName(index),
                    "10.1." + index / 256 + "." + index % 256 + ":7200",
                    RegionName.of("region-" + index % REGIONS),
                    FailureDomain.of("domain-" + index % FAILURE_DOMAINS),
                    1_700_000_000_000L + index,
                    false));
        }
        return new Roster(1, vms);
    }

    static VmName vmName(int index) {
        return VmName.of("entry-vm-" + index);
    }

    /**
     * Creates the view of a VM that has read the store and received a request from each of the given number of peers.
     */
    static ViewState view(int vmCount, int peers) {
        ViewState state = ViewState.initial(vmName(0));
        state = apply(state, new ViewEvent.RosterRead(NOW, roster(vmCount)));
        state = apply(state, new ViewEvent.ManifestRead(NOW, KnownConfiguration.NONE));
        for (int peer = 1; peer <= peers; peer++) {
            state = apply(state, new ViewEvent.PeerRequested(vmName(peer), false));
        }
        return state;
    }

    static ViewEvent.PeerReplied peerReply(int peer) {
        return new ViewEvent.PeerReplied(
                vmName(peer),
                NOW,
                0,
                1,
                Optional.of(Duration.ofMillis(300)),
                true,
                false,
                Optional.empty(),
                Optional.empty());
    }

    static ViewState apply(ViewState state, ViewEvent event) {
        return ViewTransitions.apply(state, event, NOW).state();
    }

    static DatabaseGroup group(int index) {
        List<BackendServer> servers = new ArrayList<>();
        for (int database = 0; database < DATABASES_PER_GROUP; database++) {
            servers.add(new BackendServer(
                    BackendServerName.of("database-" + index + "-" + database),
                    "10.9." + index / 256 + "." + index % 256 + ":" + (7300 + database),
                    RegionName.of("region-" + database % REGIONS),
                    FailureDomain.of("domain-" + database)));
        }
        return new DatabaseGroup(GroupName.of("group-" + index), servers, 2, 16, 4);
    }

    static BackendStatus status(int database, long position, Instant sentAt) {
        return new BackendStatus(
                BackendServerName.of("database-0-" + database),
                sentAt,
                Term.of(8193),
                Term.of(8193),
                Term.of(8193),
                position,
                database == 0,
                Duration.ofMillis(5),
                4,
                false,
                List.of(new TermStart(Term.of(8193), 0)));
    }

    /** Creates a configuration file with the given numbers of groups and customers. */
    static String configurationText(int groups, int customers) {
        StringBuilder text = new StringBuilder("format = 1\n");
        for (int customer = 0; customer < customers; customer++) {
            text.append("\n[customers.customer-").append(customer).append("]\n");
            text.append("rate = 40.0\nburst = 20\nweight = 1\n");
            text.append("key-digests = [\"")
                    .append(KeyDigest.sha256("key-" + customer))
                    .append("\"]\n");
        }
        for (int group = 0; group < groups; group++) {
            appendGroup(text, group(group));
        }
        return text.toString();
    }

    private static void appendGroup(StringBuilder text, DatabaseGroup group) {
        text.append("\n[groups.").append(group.name()).append("]\n");
        text.append("slots = 2\nconnections = 16\nstandby-connections = 4\n");
        for (BackendServer server : group.backendServers()) {
            text.append("[[groups.").append(group.name()).append(".backend-servers]]\n");
            text.append("name = \"").append(server.name()).append("\"\n");
            text.append("address = \"").append(server.address()).append("\"\n");
            text.append("region = \"").append(server.region()).append("\"\n");
            text.append("failure-domain = \"").append(server.failureDomain()).append("\"\n");
        }
        text.append("[routes.route-").append(group.name()).append("]\n");
        text.append("groups = [\"").append(group.name()).append("\"]\naccess = \"write\"\n");
    }
}
