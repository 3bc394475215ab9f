package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;

/** Fixtures: a group of three databases and status reports of its members. */
final class DatabaseFixtures {
    static final List<BackendServerName> NAMES =
            Stream.of("a", "b", "c").map(BackendServerName::of).toList();
    static final DatabaseGroup GROUP = new DatabaseGroup(
            GroupName.of("group"), NAMES.stream().map(DatabaseFixtures::server).toList(), 2, 16, 4);

    private DatabaseFixtures() {}

    static Vm vm(int index) {
        return new Vm(
                index,
                VmName.of("vm-" + index),
                "127.0.0.1:1",
                RegionName.of("lima"),
                FailureDomain.of("lima-1"),
                1,
                false);
    }

    /** Returns a report of a replica with the values that fencing, selection and acknowledgement depend on. */
    static BackendStatus status(int database, long fenced, long replicating, long lastEntryTerm, long position) {
        return new BackendStatus(
                NAMES.get(database),
                Instant.EPOCH,
                Term.of(fenced),
                Term.of(replicating),
                Term.of(lastEntryTerm),
                position,
                false,
                Duration.ZERO,
                0,
                false,
                List.of());
    }

    private static BackendServer server(BackendServerName name) {
        return new BackendServer(name, "127.0.0.1:2", RegionName.of("lima"), FailureDomain.of("lima-1"));
    }
}
