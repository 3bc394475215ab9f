package org.geraniumproxy.standin.database;

import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.ReceivedStatement;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.standin.runtime.FaultFilter;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.SerialExecutor;

/**
 * One database with its connections, its replication in both directions and its pending status requests. Confined to
 * the executor.
 */
final class DatabaseNode implements FaultTarget {
    private final String name;
    private final SerialExecutor executor;
    private final DatabaseSettings settings;
    private final FaultFilter faultFilter;
    private final Database database;
    private final StatementHistory statementHistory = new StatementHistory();
    private final ConnectionTable connections = new ConnectionTable();
    private final PendingStatusRequests pendingStatusRequests;
    private final ReplicationSender replicationSender;
    private final ReplicationReceiver replicationReceiver;

    DatabaseNode(String name, DatabaseSettings settings, SerialExecutor executor, ChannelFactory channelFactory) {
        this.name = name;
        this.executor = executor;
        this.settings = settings;
        this.faultFilter = new FaultFilter(executor);
        this.database = new Database(executor.now());
        this.pendingStatusRequests = new PendingStatusRequests(executor, faultFilter, this::status);
        this.replicationSender = new ReplicationSender(executor, faultFilter, database);
        this.replicationReceiver = new ReplicationReceiver(this, channelFactory);
    }

    String name() {
        return name;
    }

    SerialExecutor executor() {
        return executor;
    }

    DatabaseSettings settings() {
        return settings;
    }

    FaultFilter faultFilter() {
        return faultFilter;
    }

    Database database() {
        return database;
    }

    StatementHistory statementHistory() {
        return statementHistory;
    }

    ConnectionTable connections() {
        return connections;
    }

    PendingStatusRequests pendingStatusRequests() {
        return pendingStatusRequests;
    }

    ReplicationSender replicationSender() {
        return replicationSender;
    }

    ReplicationReceiver replicationReceiver() {
        return replicationReceiver;
    }

    boolean isReachable() {
        return !faultFilter.faults().down() && !faultFilter.faults().isolated();
    }

    void recordReceived(String connection, String statement, String customer, long term) {
        statementHistory.recordReceived(ReceivedStatement.newBuilder()
                .setConnection(connection)
                .setStatement(statement)
                .setCustomer(customer)
                .setTerm(term)
                .build());
    }

    /** Sends new entries to the replicas and replies to status requests that waited for them. */
    void onLogChanged() {
        replicationSender.sendEntries();
        pendingStatusRequests.replyToReady(false);
    }

    /**
     * Aborts the transactions and replication streams of the previous term or role, and replies to all status requests.
     */
    void onRoleChanged() {
        connections.abortTransactions();
        replicationSender.failAll();
        if (database.isPrimary()) {
            replicationReceiver.stop();
        }
        pendingStatusRequests.replyToReady(true);
    }

    StatusReply status() {
        return StatusReply.newBuilder()
                .setBackendServer(name)
                .setFencedTerm(database.fencedTerm().number())
                .setReplicatingTerm(database.replicatingTerm().number())
                .setLastEntryTerm(database.log().lastEntryTerm().number())
                .setPosition(database.log().position())
                .setPrimary(database.isPrimary())
                .setPrimarySilenceMillis(
                        database.timeSincePrimaryContact(executor.now()).toMillis())
                .setOpenConnections(statementHistory.openConnections())
                .setLeaving(faultFilter.faults().leaving())
                .addAllTermStarts(MessageCodec.encodeTermStarts(database.termStarts()))
                .build();
    }

    @Override
    public void inject(Faults faults) {
        boolean wasReachable = isReachable();
        boolean leavingChanged = faults.leaving() != faultFilter.faults().leaving();
        faultFilter.inject(faults);
        if (faults.down() || (isReachable() && !wasReachable)) {
            connections.failAll();
            replicationSender.failAll();
            pendingStatusRequests.failAll();
            replicationReceiver.restart();
        }
        if (leavingChanged) {
            pendingStatusRequests.replyToReady(true);
        }
    }

    @Override
    public HistoryReply history() {
        return statementHistory.history(database.log());
    }
}
