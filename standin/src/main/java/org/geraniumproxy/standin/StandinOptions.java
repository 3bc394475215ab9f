package org.geraniumproxy.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.standin.database.DatabaseSettings;

/** Options of the stand-in process. */
@Parameters(commandDescription = "Runs stand-ins of the platform: databases, the store and the list of VMs.")
final class StandinOptions {
    @Parameter(names = "--database", description = "a database as NAME=HOST:PORT; may be repeated")
    private List<String> databases = new ArrayList<>();

    @Parameter(names = "--store", description = "HOST:PORT of the store")
    private String store = "";

    @Parameter(names = "--vm-list", description = "HOST:PORT of the list of VMs")
    private String vmList = "";

    @Parameter(names = "--vm", description = "name of a VM on the list; may be repeated")
    private List<String> vms = new ArrayList<>();

    @Parameter(names = "--vm-list-lag-millis", description = "time after which the list shows a change")
    private long vmListLagMillis = 1000;

    @Parameter(names = "--slots", description = "statements at once per database")
    private int slots = 4;

    @Parameter(names = "--connections", description = "connections per database")
    private int connections = 32;

    @Parameter(names = "--connection-cost-millis", description = "time to open a connection")
    private long connectionCostMillis;

    @Parameter(names = "--statement-millis", description = "time that a statement occupies its slot")
    private long statementMillis = 1;

    @Parameter(names = "--replication-lag-millis", description = "time until a replica applies an entry")
    private long replicationLagMillis;

    @Parameter(names = "--help", help = true, description = "shows the options")
    private boolean help;

    List<String> databases() {
        return List.copyOf(databases);
    }

    String store() {
        return store;
    }

    String vmList() {
        return vmList;
    }

    List<String> vms() {
        return List.copyOf(vms);
    }

    Duration vmListLag() {
        return Duration.ofMillis(vmListLagMillis);
    }

    boolean help() {
        return help;
    }

    DatabaseSettings databaseSettings() {
        return new DatabaseSettings(
                slots,
                connections,
                Duration.ofMillis(connectionCostMillis),
                Duration.ofMillis(statementMillis),
                Duration.ofMillis(replicationLagMillis));
    }
}
