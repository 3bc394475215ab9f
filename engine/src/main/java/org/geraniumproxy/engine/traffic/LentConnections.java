package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.pool.PoolLoad;
import org.geraniumproxy.core.pool.SlotRequest;
import org.geraniumproxy.core.relay.OwnerChannelEffect;
import org.geraniumproxy.core.relay.OwnerChannelEvent;
import org.geraniumproxy.core.relay.OwnerChannels;
import org.geraniumproxy.core.relay.RefusalReason;
import org.geraniumproxy.core.relay.RelayMessage;
import org.geraniumproxy.core.routing.RendezvousHash;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;
import org.geraniumproxy.engine.relay.KnownStates;
import org.geraniumproxy.engine.relay.RelayStream;
import org.geraniumproxy.engine.telemetry.SharedConnectionEvent;

/** Lends the database connections that this VM owns to other VMs. Used on the traffic thread. */
final class LentConnections implements RelayStream.Listener {
    /** Loads are reported less often than statements end, because bytes between regions are billed. */
    private static final Duration LOAD_INTERVAL = Duration.ofMillis(100);

    /**
     * Time without input after which a VM that holds a channel has failed. A running one sends a ping after half a
     * second without input.
     */
    private static final Duration MAXIMUM_SILENCE = Duration.ofSeconds(3);

    private final TrafficEngine engine;
    private final Map<Long, Peer> peers = new HashMap<>();
    private OwnerChannels state = OwnerChannels.NONE;

    /** Stream of another VM, and the loads that it was told. */
    private static final class Peer {
        private final RelayStream stream;
        private final Map<BackendServerName, Report> reports = new HashMap<>();
        private final KnownStates knownStates = KnownStates.ofOwner();
        private String name = "unknown";

        Peer(RelayStream stream) {
            this.stream = stream;
        }
    }

    private record Report(PoolLoad load, Instant at) {}

    LentConnections(TrafficEngine engine) {
        this.engine = engine;
    }

    StreamHandler accept(StreamConnection[] connection) {
        RelayStream stream = new RelayStream(engine.nextConnectionId(), connection, this, engine::now);
        peers.put(stream.id(), new Peer(stream));
        return stream;
    }

    /** Applies the databases of which this VM owns connections. */
    void update(Set<BackendServerName> owned, boolean stopping) {
        if (!owned.equals(state.owned()) || stopping != state.stopping()) {
            engine.log(
                    "-",
                    "owned connections changed",
                    "databases=" + owned.size() + " previous=" + state.owned().size() + " stopping=" + stopping
                            + " channels=" + state.channels().size());
            apply(new OwnerChannelEvent.RolesChanged(owned, stopping));
        }
    }

    /** Returns whether no other VM uses a connection of this one. */
    boolean isUnused() {
        return state.channels().isEmpty();
    }

    int outstandingStatements(BackendServerName database) {
        return state.outstandingStatements(database);
    }

    boolean uses(BackendServerName database) {
        return state.uses(database);
    }

    /** Gives up the VMs that hold a channel and have sent nothing for too long. */
    void onTick() {
        engine.metrics().lentChannels(state.channels().size());
        Instant earliest = engine.now().minus(MAXIMUM_SILENCE);
        for (Peer peer : List.copyOf(peers.values())) {
            if (peer.stream.lastReceivedAt().isBefore(earliest) && state.usesStream(peer.stream.id())) {
                peer.stream.close("the entry VM is silent");
            }
        }
    }

    /** Applies the decision of a pool, or the answer of a database, to a channel. */
    void apply(long session, SessionEvent event) {
        Optional<BackendServerName> database = state.database(session);
        if (database.isEmpty()) {
            return;
        }
        switch (event) {
            case SessionEvent.SlotGranted granted -> {
                engine.metrics().sharedConnection(SharedConnectionEvent.LENT);
                apply(new OwnerChannelEvent.SlotGranted(
                        session, granted.connectionId(), granted.connectionState(), report(session, database.get())));
            }
            case SessionEvent.SlotRefused refused -> {
                engine.metrics().sharedConnection(SharedConnectionEvent.DECLINED);
                RefusalReason reason =
                        refused.retryOnOtherDatabase() ? RefusalReason.DATABASE_UNAVAILABLE : RefusalReason.QUEUE;
                apply(new OwnerChannelEvent.SlotRefused(
                        session,
                        reason,
                        retryAfter(database.get(), refused.slotRequestId()),
                        report(session, database.get())));
            }
            case SessionEvent.RepliesReceived replied ->
                apply(new OwnerChannelEvent.Answered(
                        session,
                        engine.connectionPool(database.get()).takeEncodedReplies(replied.connectionId()),
                        report(session, database.get())));
            case SessionEvent.ConnectionLost _ ->
                apply(new OwnerChannelEvent.ConnectionLost(session, "the database closed the connection"));
            default -> throw new IllegalStateException("unexpected event of a channel");
        }
    }

    @Override
    public void onMessage(RelayStream stream, RelayMessage message) {
        if (message instanceof RelayMessage.Hello hello) {
            peers.get(stream.id()).name = hello.sender().value();
        }
        if (message instanceof RelayMessage.Release release) {
            release.changedState()
                    .ifPresent(changed -> state.connection(stream.id(), release.channel())
                            .ifPresent(connection ->
                                    peers.get(stream.id()).knownStates.put(connection, changed)));
        }
        apply(new OwnerChannelEvent.Received(stream.id(), message));
        engine.runPendingSteps();
        if (message instanceof RelayMessage.Acquire acquire) {
            state.session(stream.id(), acquire.channel())
                    .filter(state::isWaiting)
                    .ifPresent(session ->
                            apply(new OwnerChannelEvent.SlotPending(session, report(session, acquire.database()))));
        }
    }

    @Override
    public void onEnded(RelayStream stream, String reason) {
        Peer peer = peers.remove(stream.id());
        if (state.usesStream(stream.id())) {
            engine.log("-", "entry VM lost", "vm=" + peer.name + " reason=\"" + reason + "\"");
        }
        apply(new OwnerChannelEvent.StreamEnded(stream.id()));
        engine.runPendingSteps();
    }

    private Duration retryAfter(BackendServerName database, long slotRequestId) {
        DatabaseConnectionPool pool = engine.connectionPool(database);
        double spread = (RendezvousHash.score("retry", Long.toString(slotRequestId)) >>> 1) / (double) Long.MAX_VALUE;
        return pool.poolLoad().retryAfter(pool.entry().slots(), spread);
    }

    /** Returns the load to report to the VM of a channel, unless it knows it. */
    private Optional<PoolLoad> report(long session, BackendServerName database) {
        Peer peer = state.stream(session).map(peers::get).orElse(null);
        DatabaseConnectionPool pool = engine.connectionPool(database);
        if (peer == null || pool == null) {
            return Optional.empty();
        }
        Report last = peer.reports.get(database);
        PoolLoad load = pool.poolLoad();
        Instant now = engine.now();
        if (last != null && (last.load().equals(load) || now.isBefore(last.at().plus(LOAD_INTERVAL)))) {
            return Optional.empty();
        }
        peer.reports.put(database, new Report(load, now));
        return Optional.of(load);
    }

    private void apply(OwnerChannelEvent event) {
        Transition<OwnerChannels, OwnerChannelEffect> transition = state.on(event, engine.now());
        state = transition.state();
        transition.effects().forEach(this::execute);
        engine.completeStopIfUnused();
    }

    private void execute(OwnerChannelEffect effect) {
        switch (effect) {
            case OwnerChannelEffect.Send send -> {
                Peer peer = peers.get(send.stream());
                if (peer != null) {
                    peer.stream.send(withoutKnownState(peer, send.message()));
                }
            }
            case OwnerChannelEffect.RequestSlot request -> requestSlot(request.database(), request.request());
            case OwnerChannelEffect.CancelRequest cancel ->
                engine.connectionPool(cancel.database()).cancelRequest(cancel.slotRequestId());
            case OwnerChannelEffect.ReleaseSlot release ->
                engine.connectionPool(release.database()).releaseSlot(release.slotRequestId());
            case OwnerChannelEffect.SendToDatabase send ->
                engine.connectionPool(send.database()).sendEncoded(send.connection(), send.replies(), send.encoded());
            case OwnerChannelEffect.ReturnConnection returned ->
                engine.connectionPool(returned.database())
                        .releaseLentConnection(returned.connection(), returned.state(), returned.rollback());
            case OwnerChannelEffect.CloseConnection close ->
                engine.connectionPool(close.database()).closeConnection(close.connection());
        }
    }

    private static RelayMessage withoutKnownState(Peer peer, RelayMessage message) {
        if (!(message instanceof RelayMessage.Granted granted)
                || granted.state().isEmpty()) {
            return message;
        }
        if (peer.knownStates.get(granted.connection()).equals(granted.state())) {
            return new RelayMessage.Granted(granted.channel(), granted.connection(), Optional.empty(), granted.load());
        }
        peer.knownStates.put(granted.connection(), granted.state().get());
        return message;
    }

    private void requestSlot(BackendServerName database, SlotRequest request) {
        long session = CallerSession.sessionIdOf(request.id());
        DatabaseConnectionPool pool = engine.connectionPool(database);
        if (pool == null) {
            engine.deliver(session, new SessionEvent.SlotRefused(request.id(), "the database left", true));
        } else {
            pool.requestSlot(request, session);
        }
    }
}
