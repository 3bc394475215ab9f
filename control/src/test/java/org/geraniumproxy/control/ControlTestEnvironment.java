package org.geraniumproxy.control;

import com.google.protobuf.ByteString;
import io.grpc.BindableService;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.geraniumproxy.core.configuration.StoredManifest;
import org.geraniumproxy.protocol.FaultReply;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.FaultServiceGrpc;
import org.geraniumproxy.protocol.NodeStatusReply;
import org.geraniumproxy.protocol.NodeStatusRequest;
import org.geraniumproxy.protocol.PeerServiceGrpc;
import org.geraniumproxy.protocol.Roster;
import org.geraniumproxy.protocol.VmRecord;
import org.geraniumproxy.standin.StandinPlatform;
import org.geraniumproxy.standin.Transport;
import org.geraniumproxy.standin.runtime.VirtualTimeExecutor;

/** Runs commands in process against a simulated store, fake VMs and a manual clock. */
final class ControlTestEnvironment implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final VirtualTimeExecutor executor = VirtualTimeExecutor.at(Instant.EPOCH);
    private final Transport transport = new Transport.InProcess();
    private final StandinPlatform platform = StandinPlatform.start(transport, executor);
    private final String prefix = UUID.randomUUID().toString();
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, List<String>> liveVms = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private final EventLoop eventLoop = new ManualEventLoop(executor);
    private final ManagedChannel faultChannel;
    private final KeyValueStore undecoratedStore;
    private final CommandContext context;

    private ControlTestEnvironment(UnaryOperator<KeyValueStore> decorator) {
        platform.addStore(prefix);
        faultChannel = transport.openChannel(prefix);
        undecoratedStore = new GrpcKeyValueStore(transport.openChannel(prefix), eventLoop, TIMEOUT);
        GrpcNodeStatusClient nodes = new GrpcNodeStatusClient(transport::openChannel, eventLoop, TIMEOUT);
        context = new CommandContext(
                eventLoop, new ConfigurationStore(decorator.apply(undecoratedStore)), nodes, nodes::close);
    }

    static ControlTestEnvironment start() {
        return new ControlTestEnvironment(store -> store);
    }

    static ControlTestEnvironment start(UnaryOperator<KeyValueStore> decorator) {
        return new ControlTestEnvironment(decorator);
    }

    /** Writes a roster of VMs, each in its own failure domain, and starts fake VMs that report revision zero. */
    void addVms(String... names) {
        Roster.Builder roster = Roster.newBuilder().setRevision(1);
        for (String name : names) {
            roster.addVms(VmRecord.newBuilder()
                    .setIndex(roster.getVmsCount())
                    .setName(name)
                    .setAddress(prefix + name)
                    .setRegion("lima")
                    .setFailureDomain("lima-" + name));
            revisions.put(name, 0L);
            List<BindableService> services = List.of(new FakeVm(name));
            servers.add(transport.startServer(prefix + name, services));
        }
        KeyValueStore.SwapResult unused = undecoratedStore
                .compareAndSwap(StoreEncoding.ROSTER_KEY, 0, roster.build().toByteString())
                .join();
    }

    void setRevision(String vm, long revision, String... live) {
        revisions.put(vm, revision);
        liveVms.put(vm, List.of(live));
    }

    /** Makes the VM ignore further status requests. */
    void stopAnswering(String vm) {
        revisions.remove(vm);
    }

    CompletableFuture<FaultReply> inject(FaultRequest request) {
        return UnaryCall.start(
                eventLoop,
                TIMEOUT,
                observer -> FaultServiceGrpc.newStub(faultChannel).inject(request, observer));
    }

    CompletableFuture<ExitCode> apply(String toml, long baseRevision, String identifier, Duration wait) {
        Output output = new Output.Text(printer(), printer());
        ConfigurationFile file = new ConfigurationFile(toml, ExampleConfiguration.parse(toml));
        return new ApplyCommand(context, output, file, baseRevision, identifier, wait).run();
    }

    CompletableFuture<ExitCode> status() {
        return StatusCommand.run(context, new Output.Text(printer(), printer()));
    }

    /** Runs a command line against this environment. */
    ExitCode run(String... arguments) {
        return new ControlTool(options -> context, System.in, printer(), printer()).run(arguments);
    }

    void advance(Duration duration) {
        executor.advance(duration);
    }

    StoredManifest manifest() {
        return new ConfigurationStore(undecoratedStore).readManifest().join();
    }

    String text() {
        return text.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        context.close();
        undecoratedStore.close();
        faultChannel.shutdownNow();
        servers.forEach(Server::shutdownNow);
        platform.close();
    }

    private PrintStream printer() {
        return new PrintStream(text, true, StandardCharsets.UTF_8);
    }

    /** Reports the revision set by the test, or does not reply if there is none. */
    private final class FakeVm extends PeerServiceGrpc.PeerServiceImplBase {
        private final String name;

        FakeVm(String name) {
            this.name = name;
        }

        @Override
        public void nodeStatus(NodeStatusRequest request, StreamObserver<NodeStatusReply> observer) {
            if (!revisions.containsKey(name)) {
                return;
            }
            observer.onNext(NodeStatusReply.newBuilder()
                    .setVm(name)
                    .setConfigurationRevision(revisions.get(name))
                    .addAllLiveVms(liveVms.getOrDefault(name, List.of()))
                    .setReady(true)
                    .build());
            observer.onCompleted();
        }
    }

    /** Event loop on the manual clock of the simulated store. */
    private record ManualEventLoop(VirtualTimeExecutor owner) implements EventLoop {
        @Override
        public Instant now() {
            return owner.now();
        }

        @Override
        public void execute(Runnable task) {
            owner.execute(task);
        }

        @Override
        public void schedule(Duration delay, Runnable task) {
            owner.schedule(delay, task);
        }
    }

    /** Runs an action before the first compare-and-swap of the manifest. */
    static final class SwapHookStore implements KeyValueStore {
        private final KeyValueStore store;
        private Supplier<CompletableFuture<?>> action;

        SwapHookStore(KeyValueStore store, Supplier<CompletableFuture<?>> action) {
            this.store = store;
            this.action = action;
        }

        @Override
        public CompletableFuture<StoredValue> get(String key) {
            return store.get(key);
        }

        @Override
        public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, ByteString value) {
            if (!key.equals(StoreEncoding.MANIFEST_KEY)) {
                return store.compareAndSwap(key, expectedRevision, value);
            }
            Supplier<CompletableFuture<?>> once = action;
            action = () -> CompletableFuture.completedFuture(null);
            return once.get().thenCompose(ignored -> store.compareAndSwap(key, expectedRevision, value));
        }

        @Override
        public void close() {
            store.close();
        }
    }
}
