package org.geraniumproxy.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.standin.database.DatabaseSettings;

/** Command-line options of {@link StandinMain}. */
@Parameters(commandDescription = "Runs stand-ins of the platform: databases, the store and the VM list.")
final class StandinOptions {
    @Parameter(names = "--database", description = "a database as NAME=HOST:PORT; may be repeated")
    private List<String> databases = new ArrayList<>();

    @Parameter(names = "--store", description = "listen address of the store, HOST:PORT")
    private String store = "";

    @Parameter(names = "--vm-list", description = "listen address of the VM list, HOST:PORT")
    private String vmList = "";

    @Parameter(names = "--vm", description = "name of a VM on the VM list; may be repeated")
    private List<String> vms = new ArrayList<>();

    @Parameter(names = "--vm-list-lag-millis", description = "milliseconds until the VM list shows a change")
    private long vmListLagMillis = 1000;

    @Parameter(names = "--slots", description = "maximum number of concurrent statements per database")
    private int slots = 4;

    @Parameter(names = "--connections", description = "maximum number of connections per database")
    private int connections = 32;

    @Parameter(names = "--connection-cost-millis", description = "milliseconds to open a connection")
    private long connectionCostMillis;

    @Parameter(names = "--statement-millis", description = "milliseconds that a statement occupies its slot")
    private long statementMillis = 1;

    @Parameter(names = "--replication-lag-millis", description = "milliseconds until a replica applies a log entry")
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
