package org.geraniumproxy.measure.bench;

import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.measure.load.DatabaseHistory;
import org.geraniumproxy.protocol.BackendServiceGrpc;
import org.geraniumproxy.protocol.FaultReply;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.FaultServiceGrpc;
import org.geraniumproxy.protocol.GetRequest;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.HistoryRequest;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.protocol.StatusRequest;
import org.geraniumproxy.protocol.StoreServiceGrpc;
import org.geraniumproxy.proxy.store.StoreKeys;
import org.geraniumproxy.standin.Transport;

/** Clients of the stand-in databases and of the store of a running deployment, which bypass the proxies. */
public final class DatabaseClients implements AutoCloseable {
    /** Short, because the databases run on the same machine and an isolated one does not answer. */
    private static final long CALL_TIMEOUT_MILLIS = 500;

    /** Long, because a history is a single large message. */
    private static final long HISTORY_TIMEOUT_MILLIS = 10_000;

    private final Deployment deployment;
    private final Map<String, ManagedChannel> channels = new LinkedHashMap<>();
    private final ManagedChannel store;

    DatabaseClients(Deployment deployment, Addresses addresses) {
        this.deployment = deployment;
        Transport transport = new Transport.Tcp();
        this.store = transport.openChannel(addresses.store());
        for (String group : deployment.groups()) {
            for (String name : deployment.databases(group)) {
                channels.put(name, transport.openChannel(addresses.databases().get(name)));
            }
        }
    }

    /**
     * Returns the reachable primary of the highest term of a group.
     *
     * @param group name of the group
     * @return status of the primary, empty if none is reachable
     */
    public Optional<StatusReply> primary(String group) {
        return deployment.databases(group).stream()
                .flatMap(name -> status(name).stream())
                .filter(StatusReply::getPrimary)
                .max(Comparator.comparingLong(StatusReply::getReplicatingTerm));
    }

    /**
     * Requests the status of a database.
     *
     * @param name name of the database
     * @return the status, empty if it does not answer
     */
    public Optional<StatusReply> status(String name) {
        try {
            return Optional.of(BackendServiceGrpc.newBlockingStub(channels.get(name))
                    .withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .status(StatusRequest.getDefaultInstance()));
        } catch (StatusRuntimeException e) {
            return Optional.empty();
        }
    }

    /**
     * Requests the status of the databases of a group.
     *
     * @param group name of the group
     * @param except name of a database to exclude
     * @return statuses of the databases that answer
     */
    public List<StatusReply> statuses(String group, String except) {
        return deployment.databases(group).stream()
                .filter(name -> !name.equals(except))
                .flatMap(name -> status(name).stream())
                .toList();
    }

    /**
     * Returns the revision of the record of a group in the store.
     *
     * @param group name of the group
     * @return the revision, zero if there is no record
     */
    public long recordRevision(String group) {
        String key = StoreKeys.group(GroupName.of(group));
        return StoreServiceGrpc.newBlockingStub(store)
                .withDeadlineAfter(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .get(GetRequest.newBuilder().setKey(key).build())
                .getRevision();
    }

    /**
     * Replaces the faults of a database.
     *
     * @param name name of the database
     * @param faults the new faults; the default instance removes all faults
     */
    public void inject(String name, FaultRequest faults) {
        FaultReply unused = FaultServiceGrpc.newBlockingStub(channels.get(name)).inject(faults);
    }

    /**
     * Fetches the histories of all databases.
     *
     * @return one history per database
     */
    public List<DatabaseHistory> histories() {
        List<DatabaseHistory> histories = new ArrayList<>();
        for (String group : deployment.groups()) {
            String primary = primary(group).map(StatusReply::getBackendServer).orElse("");
            for (String name : deployment.databases(group)) {
                histories.add(history(group, name, name.equals(primary)));
            }
        }
        return histories;
    }

    private DatabaseHistory history(String group, String name, boolean primary) {
        HistoryReply reply = FaultServiceGrpc.newBlockingStub(channels.get(name))
                .withDeadlineAfter(HISTORY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .history(HistoryRequest.getDefaultInstance());
        return new DatabaseHistory(
                group,
                name,
                primary,
                reply.getAppliedWriteIdentifiersList(),
                reply.getReceivedList(),
                reply.getMostConnections(),
                reply.getMostSlots());
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
        store.shutdownNow();
    }
}
