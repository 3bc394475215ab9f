package org.geraniumproxy.proxy.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.KnownConfiguration;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.ViewEffect;
import org.geraniumproxy.core.membership.ViewEvent;
import org.geraniumproxy.core.membership.ViewState;
import org.geraniumproxy.core.membership.ViewTransitions;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.protocol.ConfigurationContent;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;
import org.geraniumproxy.proxy.peer.PeerClient;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.proxy.store.PlatformStore.StoredValue;
import org.geraniumproxy.proxy.store.StoreKeys;
import org.jboss.logging.Logger;

/**
 * The control thread: owns the view of configuration and roster, applies events to it, carries out the effects, and
 * publishes a snapshot for traffic threads after each event.
 */
public final class ControlThread implements SnapshotSource, AutoCloseable {
    /** Time between two exchanges with a peer; four of them fit into the silence that marks a peer as down. */
    private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(500);

    private static final Logger log = Logger.getLogger(ControlThread.class);

    private final NodeIdentity identity;
    private final PlatformStore store;
    private final PeerClient peers;
    private final ViewCodec codec;
    private final Clock clock;
    private final ScheduledExecutorService executor;
    private final RosterKeeper rosterKeeper;
    private final StoreWatch manifestWatch;
    private final StoreWatch rosterWatch;
    private final List<Consumer<ControlSnapshot>> listeners = new ArrayList<>();
    private final Map<GroupName, GroupView> groups = new HashMap<>();
    private final Set<VmName> asked = new HashSet<>();

    private ViewState state;
    private CompletableFuture<?> rosterChange = CompletableFuture.completedFuture(null);
    private boolean joinUnconfirmed;
    private boolean left;
    private ScheduledFuture<?> ticks;
    private volatile ControlSnapshot snapshot;

    /**
     * Creates the control thread of a node.
     *
     * @param identity what the node says of itself
     * @param store the platform's store
     * @param peers calls to other VMs
     * @param parser reads configurations
     * @param clock this VM's clock
     * @param executor single-threaded executor that owns the control state
     */
    public ControlThread(
            NodeIdentity identity,
            PlatformStore store,
            PeerClient peers,
            ConfigurationParser parser,
            Clock clock,
            ScheduledExecutorService executor) {
        this.identity = identity;
        this.store = store;
        this.peers = peers;
        this.codec = new ViewCodec(parser);
        this.clock = clock;
        this.executor = executor;
        this.rosterKeeper = new RosterKeeper(store, identity);
        this.manifestWatch = new StoreWatch(store, StoreKeys.MANIFEST, clock, executor, this::readManifest);
        this.rosterWatch = new StoreWatch(store, StoreKeys.ROSTER, clock, executor, this::readRoster);
        this.state = ViewState.initial(identity.name());
        this.snapshot = ControlSnapshot.initial(identity.name());
    }

    /**
     * Adds a listener that is told on the control thread when configuration, roster, unavailable VMs or draining
     * change. Call it before {@link #start()}.
     *
     * @param listener the listener
     */
    public void addListener(Consumer<ControlSnapshot> listener) {
        listeners.add(listener);
    }

    /** Joins the roster and begins to keep the view current. */
    public void start() {
        executor.execute(this::startTicking);
    }

    private void startTicking() {
        ticks = executor.scheduleWithFixedDelay(this::tick, 0, EXCHANGE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public ControlSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Answers a peer's view exchange.
     *
     * @param request what the peer knows
     * @return what this VM knows
     */
    public CompletableFuture<ViewReply> exchange(ViewRequest request) {
        return CompletableFuture.supplyAsync(() -> answer(request), executor);
    }

    /**
     * Publishes the view of a group that this VM coordinates or stands by for.
     *
     * @param view the view
     */
    public void publishGroup(GroupView view) {
        executor.execute(() -> {
            groups.put(view.group(), view);
            publish();
        });
    }

    /**
     * Withdraws the view of a group that this VM no longer serves.
     *
     * @param group the group
     */
    public void withdrawGroup(GroupName group) {
        executor.execute(() -> {
            groups.remove(group);
            publish();
        });
    }

    /**
     * Announces to peers that this VM is leaving.
     *
     * @return completes when the announcement has been sent
     */
    public CompletableFuture<Void> drain() {
        return CompletableFuture.runAsync(() -> apply(new ViewEvent.DrainStarted()), executor);
    }

    /**
     * Removes this VM from the roster, after the change of the roster that is in progress, so that a join can't take
     * effect later.
     *
     * @return completes when the store has confirmed it; completes exceptionally if the store can't be reached
     */
    public CompletableFuture<Void> leave() {
        return CompletableFuture.runAsync(() -> left = true, executor)
                .thenComposeAsync(_ -> rosterChange.handle((_, _) -> null), executor)
                .thenComposeAsync(_ -> rosterKeeper.leave(joinUnconfirmed), executor)
                .thenAccept(roster -> log.infof("member: left the roster at revision %d", roster.revision()));
    }

    @Override
    public void close() {
        executor.execute(this::stopTicking);
    }

    private void stopTicking() {
        if (ticks != null) {
            ticks.cancel(false);
        }
        manifestWatch.stop();
        rosterWatch.stop();
    }

    private void tick() {
        try {
            manifestWatch.stop();
            rosterWatch.stop();
            apply(new ViewEvent.TimePassed());
            joinIfMissing();
        } catch (RuntimeException e) {
            log.error("node: control step failed", e);
        }
    }

    private void apply(ViewEvent event) {
        Transition<ViewState, ViewEffect> transition = decide(event);
        ViewState before = state;
        state = transition.state();
        publish();
        logChanges(before);
        transition.effects().forEach(this::carryOut);
    }

    private Transition<ViewState, ViewEffect> decide(ViewEvent event) {
        try {
            return ViewTransitions.apply(state, event, clock.instant());
        } catch (InvariantViolation e) {
            log.error("node: invariant violated", e);
            throw e;
        }
    }

    private void carryOut(ViewEffect effect) {
        switch (effect) {
            case ViewEffect.ExchangeWithPeer ask -> askPeer(ask.vm());
            case ViewEffect.WatchStore watch -> {
                manifestWatch.start();
                rosterWatch.start();
            }
            case ViewEffect.RemoveVm remove -> removeVm(remove);
        }
    }

    private void askPeer(Vm vm) {
        if (!asked.add(vm.name())) {
            return;
        }
        Instant requestSentAt = clock.instant();
        ViewRequest request = ViewRequest.newBuilder()
                .setFromVm(identity.name().value())
                .setFromIncarnation(identity.incarnation())
                .setConfigurationRevision(state.configuration().number())
                .setRosterRevision(state.roster().revision())
                .setLeaving(state.draining())
                .build();
        var unused = peers.exchangeView(vm, request)
                .whenCompleteAsync((reply, failure) -> peerAnswered(vm, requestSentAt, reply, failure), executor);
    }

    private void peerAnswered(Vm vm, Instant requestSentAt, ViewReply reply, Throwable failure) {
        asked.remove(vm.name());
        if (failure == null && reply.getIncarnation() == vm.incarnation()) {
            apply(codec.reply(vm.name(), requestSentAt, reply));
        }
    }

    private ViewReply answer(ViewRequest request) {
        VmName peer = VmName.of(request.getFromVm());
        boolean sameProcess = state.roster()
                .find(peer)
                .map(vm -> vm.incarnation() == request.getFromIncarnation())
                .orElse(false);
        if (sameProcess) {
            apply(new ViewEvent.PeerRequested(peer, request.getLeaving()));
        }
        return ViewCodec.reply(state, identity.incarnation(), request, clock.instant());
    }

    private CompletableFuture<Void> readManifest(Instant requestSentAt, StoredValue value) {
        if (!value.isPresent()) {
            apply(new ViewEvent.ManifestRead(requestSentAt, KnownConfiguration.NONE));
            return CompletableFuture.completedFuture(null);
        }
        ConfigurationContent manifest;
        try {
            manifest = ViewCodec.manifest(value.value());
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (manifest.getRevision() <= state.configuration().number()) {
            applyManifest(requestSentAt, manifest);
            return CompletableFuture.completedFuture(null);
        }
        return store.get(StoreKeys.content(manifest.getContentDigest()))
                .thenAcceptAsync(content -> applyContent(requestSentAt, manifest, content), executor);
    }

    private void applyManifest(Instant requestSentAt, ConfigurationContent manifest) {
        if (manifest.getRevision() == state.configuration().number()) {
            apply(new ViewEvent.ManifestRead(requestSentAt, state.configuration()));
        }
    }

    private void applyContent(Instant requestSentAt, ConfigurationContent manifest, StoredValue content) {
        ConfigurationContent complete =
                manifest.toBuilder().setToml(content.value().toStringUtf8()).build();
        apply(new ViewEvent.ManifestRead(requestSentAt, codec.configuration(complete)));
    }

    private CompletableFuture<Void> readRoster(Instant requestSentAt, StoredValue value) {
        apply(new ViewEvent.RosterRead(requestSentAt, RosterKeeper.decode(value)));
        return CompletableFuture.completedFuture(null);
    }

    private void joinIfMissing() {
        boolean listed = state.roster()
                .find(identity.name())
                .map(vm -> vm.incarnation() == identity.incarnation())
                .orElse(false);
        if (!listed && !left && !state.draining()) {
            changeRoster(this::join, "joined the roster");
        }
    }

    private CompletableFuture<Roster> join() {
        joinUnconfirmed = true;
        return rosterKeeper
                .join()
                .thenApplyAsync(
                        roster -> {
                            joinUnconfirmed = false;
                            return roster;
                        },
                        executor);
    }

    private void removeVm(ViewEffect.RemoveVm remove) {
        changeRoster(
                () -> rosterKeeper.remove(remove.vm(), remove.incarnation()),
                "removed " + remove.vm() + " from the roster");
    }

    /** Starts a change unless another one is in progress. */
    private void changeRoster(Supplier<CompletableFuture<Roster>> change, String description) {
        if (!rosterChange.isDone()) {
            return;
        }
        rosterChange = change.get()
                .whenCompleteAsync(
                        (roster, failure) -> {
                            if (failure == null) {
                                log.infof("member: %s at revision %d", description, roster.revision());
                            }
                        },
                        executor);
    }

    private void publish() {
        Instant now = clock.instant();
        ControlSnapshot before = snapshot;
        snapshot = new ControlSnapshot(
                identity.name(),
                state.configuration().revision(),
                state.roster(),
                unavailable(now),
                state.provenAt(now),
                state.draining(),
                groups);
        if (differs(before, snapshot)) {
            listeners.forEach(listener -> listener.accept(snapshot));
        }
    }

    /** A VM that is being stopped counts itself out, so that it hands its groups over. */
    private Set<VmName> unavailable(Instant now) {
        Set<VmName> unavailable = state.unavailable(now);
        if (state.draining()) {
            unavailable.add(identity.name());
        }
        return unavailable;
    }

    private static boolean differs(ControlSnapshot before, ControlSnapshot after) {
        return before.configuration().revision() != after.configuration().revision()
                || before.roster().revision() != after.roster().revision()
                || before.draining() != after.draining()
                || !before.unavailableVms().equals(after.unavailableVms());
    }

    private void logChanges(ViewState before) {
        if (before.configuration().number() != state.configuration().number()) {
            log.infof("config: revision %d is in force", state.configuration().number());
        }
        if (before.roster().revision() != state.roster().revision()) {
            log.infof(
                    "member: roster revision %d has %d VMs",
                    state.roster().revision(), state.roster().vms().size());
        }
    }
}
