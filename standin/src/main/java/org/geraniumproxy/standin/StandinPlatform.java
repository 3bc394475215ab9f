package org.geraniumproxy.standin;

import io.grpc.BindableService;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.standin.database.BackendServer;
import org.geraniumproxy.standin.database.DatabaseSettings;
import org.geraniumproxy.standin.platform.VmListServer;
import org.geraniumproxy.standin.runtime.FaultServer;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.SerialExecutor;
import org.geraniumproxy.standin.store.StoreServer;

/**
 * Hosts stand-ins. Each one listens on its own address, which also offers its fault injection service.
 *
 * <pre>{@code
 * VirtualTimeExecutor executor = VirtualTimeExecutor.at(Instant.EPOCH);
 * try (StandinPlatform platform = StandinPlatform.start(new Transport.InProcess(), executor)) {
 *     platform.addStore("store");
 *     platform.addDatabase("ledger-1a", "ledger-1a-address", DatabaseSettings.INSTANT);
 *     ManagedChannel channel = platform.openChannel("store");
 * }
 * }</pre>
 */
public final class StandinPlatform implements AutoCloseable {
    private final Transport transport;
    private final SerialExecutor executor;
    private final List<Server> servers = new ArrayList<>();
    private Optional<VmListServer> vmList = Optional.empty();

    private StandinPlatform(Transport transport, SerialExecutor executor) {
        this.transport = transport;
        this.executor = executor;
    }

    /**
     * Returns a platform without stand-ins.
     *
     * @param transport transport of all servers and channels
     * @param executor shared by all stand-ins; runs everything that touches their state
     * @return the platform
     */
    public static StandinPlatform start(Transport transport, SerialExecutor executor) {
        return new StandinPlatform(transport, executor);
    }

    /**
     * Starts an empty key-value store.
     *
     * @param address listen address
     * @return the store
     */
    public StoreServer addStore(String address) {
        StoreServer store = new StoreServer(executor);
        startServer(address, store, store);
        return store;
    }

    /**
     * Starts the VM list. It shows only databases that are added after it.
     *
     * @param address listen address
     * @param vmNames VMs that it shows from the start, without lag
     * @param lag time until it shows a change
     * @return the VM list
     */
    public VmListServer addVmList(String address, List<String> vmNames, Duration lag) {
        VmListServer list = new VmListServer(vmNames, lag, executor);
        startServer(address, list, list);
        vmList = Optional.of(list);
        return list;
    }

    /**
     * Starts an empty database and adds it to the VM list, if there is one.
     *
     * @param name name of the backend server
     * @param address listen address
     * @param settings its limits and simulated delays
     * @return the database
     */
    public BackendServer addDatabase(String name, String address, DatabaseSettings settings) {
        BackendServer database = new BackendServer(name, settings, executor, transport::openChannel);
        vmList.ifPresent(list -> list.addBackendServer(name));
        FaultTarget target = vmList.<FaultTarget>map(list -> new ListedDatabase(database, list))
                .orElse(database.faultTarget());
        startServer(address, database, target);
        return database;
    }

    /**
     * Opens a channel to a stand-in. The caller must shut it down.
     *
     * @param address address of the stand-in
     * @return the channel
     */
    public ManagedChannel openChannel(String address) {
        return transport.openChannel(address);
    }

    /** Stops the servers of all stand-ins. The executor keeps running. */
    @Override
    public void close() {
        servers.forEach(Server::shutdownNow);
    }

    private void startServer(String address, BindableService service, FaultTarget target) {
        servers.add(transport.startServer(address, List.of(service, new FaultServer(executor, target))));
    }

    /** Forwards a change of the database's leaving flag to the VM list as well. */
    private record ListedDatabase(BackendServer database, VmListServer list) implements FaultTarget {
        @Override
        public void inject(Faults faults) {
            if (faults.leaving() != database.isLeaving()) {
                list.setBackendServerLeaving(database.name(), faults.leaving());
            }
            database.faultTarget().inject(faults);
        }

        @Override
        public HistoryReply history() {
            return database.faultTarget().history();
        }
    }
}
