package org.geraniumproxy.proxy.testing;

import io.grpc.ManagedChannel;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateDecision;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.protocol.CallerServiceGrpc;
import org.geraniumproxy.protocol.NodeStatusReply;
import org.geraniumproxy.proxy.caller.CallerEndpoint;
import org.geraniumproxy.proxy.failover.Durability;
import org.geraniumproxy.proxy.peer.GrpcPeerClient;
import org.geraniumproxy.proxy.peer.PeerEndpoint;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.telemetry.TrafficMetrics;
import org.geraniumproxy.proxy.traffic.CoordinatorHandler;
import org.geraniumproxy.proxy.traffic.Delay;
import org.geraniumproxy.proxy.traffic.EntryHandler;
import org.geraniumproxy.proxy.traffic.RetryPolicy;
import org.geraniumproxy.proxy.traffic.TrafficContext;
import org.geraniumproxy.proxy.transport.ChannelCache;

/** An entry proxy and a coordinator on two VMs before a group of stand-ins, linked over gRPC in one process. */
public final class TestNodes implements AutoCloseable {
    public static final String KEY = "marked-key-5f1c";
    public static final String OTHER_KEY = "other-key-77aa";
    public static final CustomerName CUSTOMER = CustomerName.of("troupes-cusco");
    public static final CustomerName OTHER_CUSTOMER = CustomerName.of("troupes-lima");

    private static final VmName ENTRY = VmName.of("vm-entry");
    private static final Vm COORDINATOR = new Vm(
            1,
            VmName.of("vm-coordinator"),
            "vm-coordinator",
            RegionName.of("lima"),
            FailureDomain.of("lima-1"),
            1,
            false);

    public final LocalTransport transport = new LocalTransport();
    public final TestGroup group = new TestGroup(transport);
    public final InMemorySpanExporter spans = InMemorySpanExporter.create();
    public final InFlightRequests entryRequests = new InFlightRequests();
    public final InFlightRequests coordinatorRequests = new InFlightRequests();
    public final TestPool pool = new TestPool(name -> group.client().open(group.find(name)));
    public final AtomicReference<CompletableFuture<Boolean>> durable =
            new AtomicReference<>(CompletableFuture.completedFuture(true));
    public final CompletableFuture<Void> durabilityAsked = new CompletableFuture<>();
    public final AtomicReference<Duration> viewAge = new AtomicReference<>(Duration.ZERO);
    public final AtomicReference<RateDecision> rate = new AtomicReference<>(new RateDecision.Admitted());
    public final AtomicReference<RetryPolicy> retries = new AtomicReference<>(new NoRetries());
    public final List<CustomerName> chargedCustomers = new CopyOnWriteArrayList<>();
    /** Runs once while a request waits for its rate token. */
    public final AtomicReference<Runnable> onTokenWait = new AtomicReference<>(() -> {});

    private final AtomicReference<Configuration> configuration =
            new AtomicReference<>(configuration(Set.of(KeyDigest.ofKey(KEY)), Set.of(KeyDigest.ofKey(OTHER_KEY))));
    private final OpenTelemetrySdk telemetry = OpenTelemetrySdk.builder()
            .setTracerProvider(SdkTracerProvider.builder()
                    .addSpanProcessor(SimpleSpanProcessor.create(spans))
                    .build())
            .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
            .build();
    private final Tracing tracing = Tracing.of(telemetry);
    private final GrpcPeerClient peers;
    private final ManagedChannel channel;

    public TestNodes() {
        this(Delay.SYSTEM);
    }

    /** Creates nodes whose entry proxy waits with the given delays. */
    public TestNodes(Delay entryDelay) {
        TrafficContext coordinatorContext = context(this::coordinatorSnapshot, Delay.SYSTEM, coordinatorRequests);
        CoordinatorHandler coordinator =
                new CoordinatorHandler(coordinatorContext, pool, new TestDurability(), _ -> Map.of());
        PeerEndpoint.Handlers handlers = new PeerEndpoint.Handlers(
                coordinator, coordinator.transactions(), null, null, NodeStatusReply::getDefaultInstance);
        transport.serve(
                COORDINATOR.address(), new PeerEndpoint(handlers, TestGroup.CLOCK), tracing.serverInterceptor());

        peers = new GrpcPeerClient(
                ENTRY,
                new ChannelCache(transport.intercepted(tracing.clientInterceptor()), TestGroup.CLOCK),
                transport.executor(),
                TestGroup.CLOCK);
        TrafficContext entryContext = context(this::entrySnapshot, entryDelay, entryRequests);
        EntryHandler entry = new EntryHandler(
                entryContext,
                (customer, _) -> takeToken(customer),
                request -> {
                    throw new AssertionError("the entry proxy does not serve the group");
                },
                request -> {
                    throw new AssertionError("the entry proxy does not serve the group");
                },
                peers,
                new CurrentRetries());
        transport.serve("caller", new CallerEndpoint(entry, transport.executor()), tracing.serverInterceptor());
        channel = transport.create("caller");
    }

    public CallerServiceGrpc.CallerServiceBlockingStub caller() {
        return CallerServiceGrpc.newBlockingStub(channel);
    }

    public CallerServiceGrpc.CallerServiceStub streamingCaller() {
        return CallerServiceGrpc.newStub(channel);
    }

    public void withdrawKey() {
        configuration.set(configuration(Set.of(), Set.of(KeyDigest.ofKey(OTHER_KEY))));
    }

    /** Moves {@link #KEY} to the other customer. */
    public void moveKey() {
        configuration.set(configuration(Set.of(), Set.of(KeyDigest.ofKey(KEY), KeyDigest.ofKey(OTHER_KEY))));
    }

    private CompletableFuture<RateDecision> takeToken(CustomerName customer) {
        chargedCustomers.add(customer);
        onTokenWait.getAndSet(() -> {}).run();
        return CompletableFuture.completedFuture(rate.get());
    }

    @Override
    public void close() {
        channel.shutdownNow();
        peers.close();
        group.close();
        transport.close();
        telemetry.close();
    }

    private TrafficContext context(
            org.geraniumproxy.proxy.control.SnapshotSource snapshots, Delay delay, InFlightRequests requests) {
        return new TrafficContext(
                snapshots,
                TestGroup.CLOCK,
                delay,
                transport.executor(),
                tracing,
                new TrafficMetrics(new PrometheusRegistry()),
                requests);
    }

    private ControlSnapshot entrySnapshot() {
        return snapshot(ENTRY, Map.of());
    }

    private ControlSnapshot coordinatorSnapshot() {
        return snapshot(COORDINATOR.name(), Map.of(TestGroup.GROUP, group.view()));
    }

    private ControlSnapshot snapshot(VmName self, Map<GroupName, org.geraniumproxy.core.failover.GroupView> views) {
        return new ControlSnapshot(
                self,
                new ConfigurationRevision(1, "apply-1", "digest", configuration.get()),
                new Roster(1, List.of(COORDINATOR)),
                Set.of(),
                Optional.of(TestGroup.CLOCK.instant().minus(viewAge.get())),
                false,
                views);
    }

    private static Configuration configuration(Set<KeyDigest> keys, Set<KeyDigest> otherKeys) {
        Customer customer = new Customer(CUSTOMER, 1000, 100, 1, keys);
        Customer other = new Customer(OTHER_CUSTOMER, 1000, 100, 1, otherKeys);
        Route registrations = new Route(
                RouteName.of("registrations"),
                List.of(TestGroup.GROUP),
                Access.WRITE,
                Duration.ofMinutes(1),
                Optional.empty(),
                Set.of());
        return new Configuration(
                Map.of(CUSTOMER, customer, OTHER_CUSTOMER, other),
                Map.of(TestGroup.GROUP, TestGroup.CONFIGURATION),
                Map.of(registrations.name(), registrations));
    }

    /** Proves durability as the test says; the view of the coordinator is always new. */
    private final class TestDurability implements Durability {
        @Override
        public CompletableFuture<Boolean> awaitDurable(GroupName name, LogPosition write, Instant deadline) {
            durabilityAsked.complete(null);
            return durable.get();
        }

        @Override
        public CompletableFuture<Void> awaitChange(GroupName name, Instant deadline) {
            return CompletableFuture.completedFuture(null);
        }
    }

    private static final class NoRetries implements RetryPolicy {
        @Override
        public void requestStarted() {}

        @Override
        public Optional<Duration> pauseBeforeRetry(Outcome outcome, boolean repeatable, int tries, Duration timeLeft) {
            return Optional.empty();
        }
    }

    private final class CurrentRetries implements RetryPolicy {
        @Override
        public void requestStarted() {
            retries.get().requestStarted();
        }

        @Override
        public Optional<Duration> pauseBeforeRetry(Outcome outcome, boolean repeatable, int tries, Duration timeLeft) {
            return retries.get().pauseBeforeRetry(outcome, repeatable, tries, timeLeft);
        }
    }
}
