package org.geraniumproxy.standin.database;

import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.ReceivedStatement;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.standin.runtime.FaultGate;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.Owner;

/** One database with its links: connections, replication in both directions and status reports. Runs on the owner. */
final class DatabaseHost implements FaultTarget {
    private final String name;
    private final Owner owner;
    private final DatabaseSettings settings;
    private final FaultGate gate;
    private final Database database;
    private final StatementRecord record = new StatementRecord();
    private final ConnectionTable connections = new ConnectionTable();
    private final StatusWaiters statusWaiters;
    private final ReplicationFeeds feeds;
    private final ReplicationLink link;

    DatabaseHost(String name, DatabaseSettings settings, Owner owner, ChannelFactory channels) {
        this.name = name;
        this.owner = owner;
        this.settings = settings;
        this.gate = new FaultGate(owner);
        this.database = new Database(owner.now());
        this.statusWaiters = new StatusWaiters(owner, gate, this::status);
        this.feeds = new ReplicationFeeds(owner, gate, database);
        this.link = new ReplicationLink(this, channels);
    }

    String name() {
        return name;
    }

    Owner owner() {
        return owner;
    }

    DatabaseSettings settings() {
        return settings;
    }

    FaultGate gate() {
        return gate;
    }

    Database database() {
        return database;
    }

    StatementRecord record() {
        return record;
    }

    ConnectionTable connections() {
        return connections;
    }

    StatusWaiters statusWaiters() {
        return statusWaiters;
    }

    ReplicationFeeds feeds() {
        return feeds;
    }

    ReplicationLink link() {
        return link;
    }

    boolean isReachable() {
        return !gate.faults().down() && !gate.faults().isolated();
    }

    void receive(String connection, String statement, String customer, long term) {
        record.receive(ReceivedStatement.newBuilder()
                .setConnection(connection)
                .setStatement(statement)
                .setCustomer(customer)
                .setTerm(term)
                .build());
    }

    /** Sends new entries to replicas and answers status requests that waited for them. */
    void logChanged() {
        feeds.ship();
        statusWaiters.answerReady(false);
    }

    /** Ends what belonged to the earlier term or role. */
    void roleChanged() {
        connections.dropTransactions();
        feeds.endAll();
        if (database.isPrimary()) {
            link.stop();
        }
        statusWaiters.answerReady(true);
    }

    StatusReply status() {
        return StatusReply.newBuilder()
                .setBackendServer(name)
                .setFencedTerm(database.fencedTerm().number())
                .setReplicatingTerm(database.replicatingTerm().number())
                .setLastEntryTerm(database.log().lastEntryTerm().number())
                .setPosition(database.log().position())
                .setPrimary(database.isPrimary())
                .setPrimarySilenceMillis(database.primarySilence(owner.now()).toMillis())
                .setOpenConnections(record.connections())
                .setLeaving(gate.faults().leaving())
                .addAllTermStarts(Messages.encodeStarts(database.termStarts()))
                .build();
    }

    @Override
    public void inject(Faults faults) {
        boolean wasReachable = isReachable();
        boolean leavingChanged = faults.leaving() != gate.faults().leaving();
        gate.inject(faults);
        if (faults.down() || (isReachable() && !wasReachable)) {
            connections.failAll();
            feeds.endAll();
            statusWaiters.failAll();
            link.restart();
        }
        if (leavingChanged) {
            statusWaiters.answerReady(true);
        }
    }

    @Override
    public HistoryReply history() {
        return record.history(database.log());
    }
}
