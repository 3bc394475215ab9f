package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.balance.ReportedLoad;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.caller.ConnectionStateTracker;
import org.geraniumproxy.core.caller.ErrorCode;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.caller.StatementResult;
import org.geraniumproxy.core.caller.TransactionState;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.OwnerSelection;
import org.geraniumproxy.core.pool.PoolLoad;
import org.geraniumproxy.core.pool.SlotRequest;
import org.geraniumproxy.core.relay.EntryChannelEffect;
import org.geraniumproxy.core.relay.EntryChannelEvent;
import org.geraniumproxy.core.relay.EntryChannels;
import org.geraniumproxy.core.relay.RelayMessage;
import org.geraniumproxy.engine.loop.SocketAddresses;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.relay.KnownStates;
import org.geraniumproxy.engine.relay.RelayStream;
import org.geraniumproxy.engine.telemetry.SharedConnectionEvent;

/** Uses the database connections of other VMs for the sessions of this VM. Used on the traffic thread. */
final class RelayedConnections implements RelayStream.Listener {
    /** Time without input after which an owner that holds a channel is asked to respond. */
    private static final Duration SILENCE_BEFORE_PING = Duration.ofMillis(500);

    /**
     * Time without a response after which the channels of an owner are lost. Longer than a pause of a running process,
     * because the outcome of their statements is unknown then.
     */
    private static final Duration PING_TIMEOUT = Duration.ofSeconds(1);

    /** Bounds the log while an owner fails; the counters have all events. */
    private static final int MAXIMUM_LOG_LINES_PER_TICK = 4;

    private final TrafficEngine engine;
    private final Map<VmName, RelayStream> streams = new HashMap<>();
    private final Map<Long, VmName> owners = new HashMap<>();
    private final Map<Long, KnownStates> knownStates = new HashMap<>();
    private final Map<Long, Use> usesByChannel = new HashMap<>();
    private final Map<Long, Use> usesByRequest = new HashMap<>();
    private final Set<Long> undeliveredGrants = new HashSet<>();
    private final Map<BackendServerName, ReceivedLoad> loads = new HashMap<>();
    private EntryChannels state = EntryChannels.initial(VmName.of("unknown"), OwnerSelection.RESPONSE_MARGIN);
    private Map<VmName, String> addresses = Map.of();
    private Duration responseMargin = OwnerSelection.RESPONSE_MARGIN;
    private int logLines;

    /** Use of a channel by a session. */
    private static final class Use {
        private final long channel;
        private final long session;
        private final BackendServerName database;
        private final BackendProtocol.Decoder decoder;
        private final List<BackendReply> replies = new ArrayList<>();
        private long ownersConnection;
        private ConnectionStateTracker tracker = ConnectionStateTracker.NEW;
        private TransactionState transactionState = TransactionState.IDLE;
        private int expectedReplies;

        Use(long channel, long session, BackendServerName database, BackendProtocol.Decoder decoder) {
            this.channel = channel;
            this.session = session;
            this.database = database;
            this.decoder = decoder;
        }
    }

    /** Load that an owner reported. */
    private record ReceivedLoad(PoolLoad load, Instant receivedAt) {}

    RelayedConnections(TrafficEngine engine) {
        this.engine = engine;
    }

    /** Sets the margin for the responses of owners, before the members of the fleet are known. */
    void setResponseMargin(Duration margin) {
        responseMargin = margin;
    }

    /** Applies the current members of the fleet. */
    void update(VmName self, Map<VmName, String> newest) {
        if (!state.self().equals(self)) {
            state = EntryChannels.initial(self, responseMargin);
        }
        addresses = newest;
        Set<VmName> inUse = state.ownersInUse();
        streams.forEach((owner, stream) -> {
            if (!newest.containsKey(owner) && !inUse.contains(owner)) {
                engine.loop().execute(() -> stream.close("the VM left"));
            }
        });
    }

    /** Requests a slot for a session that holds no connection. */
    void requestSlot(SlotRequest request, long session, BackendServerName database, List<VmName> candidates) {
        long channel = engine.nextConnectionId();
        Use use = new Use(
                channel,
                session,
                database,
                engine.backendProtocol()
                        .decoderOfOpenConnection(engine.memory().budget().connectionBytes()));
        usesByChannel.put(channel, use);
        usesByRequest.put(request.id(), use);
        apply(new EntryChannelEvent.Requested(request, channel, database, candidates));
    }

    /** Requests a slot for the channel of a session, if it holds one. */
    boolean requestSlotOfChannel(SlotRequest request, long session, BackendServerName database) {
        for (Use use : usesByChannel.values()) {
            if (use.session == session && use.database.equals(database)) {
                // Without the channel, the event that tells the session of its loss is on its way.
                if (state.holds(use.channel)) {
                    usesByRequest.put(request.id(), use);
                    apply(new EntryChannelEvent.Requested(request, use.channel, database, List.of()));
                }
                return true;
            }
        }
        return false;
    }

    boolean isRelayedRequest(long slotRequestId) {
        return usesByRequest.containsKey(slotRequestId);
    }

    boolean isRelayedConnection(long connectionId) {
        return usesByChannel.containsKey(connectionId);
    }

    boolean uses(BackendServerName database) {
        return usesByChannel.values().stream().anyMatch(use -> use.database.equals(database));
    }

    int outstandingStatements(BackendServerName database) {
        return state.outstandingStatements(database);
    }

    Set<CustomerName> customers(BackendServerName database) {
        return state.customers(database);
    }

    /** Returns the load of the other VMs at a database, empty if its owner has reported none. */
    Optional<ReportedLoad> reportedLoad(BackendServerName database) {
        return Optional.ofNullable(loads.get(database))
                .map(received -> ReportedLoad.ofOwner(
                        received.load, state.outstandingStatements(database), received.receivedAt));
    }

    void cancelRequest(long slotRequestId) {
        Use use = usesByRequest.remove(slotRequestId);
        undeliveredGrants.remove(slotRequestId);
        apply(new EntryChannelEvent.Cancelled(slotRequestId));
        if (!state.holds(use.channel)) {
            usesByChannel.remove(use.channel);
        }
    }

    boolean confirmGrant(long slotRequestId) {
        return undeliveredGrants.remove(slotRequestId);
    }

    void releaseSlot(long slotRequestId) {
        usesByRequest.remove(slotRequestId);
        apply(new EntryChannelEvent.SlotReleased(slotRequestId));
    }

    void send(long connectionId, List<BackendCommand> commands, boolean endsSlot) {
        Use use = usesByChannel.get(connectionId);
        List<byte[]> encoded =
                commands.stream().map(engine.backendProtocol()::encodeCommand).toList();
        ByteBuffer joined = ByteBuffer.allocate(
                encoded.stream().mapToInt(part -> part.length).sum());
        encoded.forEach(joined::put);
        joined.flip();
        if (state.holds(connectionId) && !streamOf(connectionId).accepts(joined.remaining())) {
            refuseUnsent(use, commands.size());
            return;
        }
        use.replies.clear();
        use.expectedReplies = commands.size();
        use.tracker = use.tracker.sent(commands);
        apply(new EntryChannelEvent.CommandsReady(
                new RelayMessage.Commands(connectionId, commands.size(), endsSlot, joined)));
    }

    private RelayStream streamOf(long channel) {
        return streams.get(state.ownerOf(channel).orElseThrow());
    }

    /** Answers commands that weren't handed to the stream as the database answers those that it doesn't run. */
    private void refuseUnsent(Use use, int count) {
        engine.metrics().sharedConnection(SharedConnectionEvent.NOT_SENT);
        BackendReply refusal = new BackendReply(
                List.of(),
                new StatementResult.Failed(ErrorCode.BUSY, "not sent; the stream to the owner is full"),
                use.transactionState,
                Optional.empty());
        List<BackendReply> refusals = Collections.nCopies(count, refusal);
        engine.deliver(use.session, new SessionEvent.RepliesReceived(use.channel, refusals));
    }

    /** Gives a connection back to its owner, or lets the owner close it if its state is unknown. */
    void releaseConnection(long connectionId, boolean rollback) {
        Use use = usesByChannel.remove(connectionId);
        if (!use.tracker.isKnownAfter(rollback)) {
            apply(new EntryChannelEvent.ConnectionClosed(connectionId));
            return;
        }
        ConnectionState connectionState = use.tracker.state();
        state.ownerOf(connectionId)
                .map(streams::get)
                .ifPresent(stream -> knownStates.get(stream.id()).put(use.ownersConnection, connectionState));
        apply(new EntryChannelEvent.ConnectionReturned(connectionId, connectionState, rollback));
    }

    void closeConnection(long connectionId) {
        usesByChannel.remove(connectionId);
        apply(new EntryChannelEvent.ConnectionClosed(connectionId));
    }

    /** Asks silent owners to respond, and gives up those that don't. */
    void onTick() {
        logLines = 0;
        Instant now = engine.now();
        Set<VmName> inUse = state.ownersInUse();
        Map.copyOf(streams).forEach((owner, stream) -> {
            if (stream.isPinged()) {
                if (!now.isBefore(stream.pingedAt().plus(PING_TIMEOUT))) {
                    stream.close("the owner does not respond");
                }
            } else if (inUse.contains(owner)
                    && !now.isBefore(stream.lastReceivedAt().plus(SILENCE_BEFORE_PING))) {
                stream.ping();
            }
        });
    }

    @Override
    public void onMessage(RelayStream stream, RelayMessage message) {
        recordLoad(message);
        RelayMessage complete =
                message instanceof RelayMessage.Granted granted ? withKnownState(stream, granted) : message;
        apply(new EntryChannelEvent.Received(owners.get(stream.id()), complete));
        engine.runPendingSteps();
    }

    /** Adds the state that the owner left out, also for the record if the session has withdrawn its request. */
    private RelayMessage withKnownState(RelayStream stream, RelayMessage.Granted granted) {
        KnownStates known = knownStates.get(stream.id());
        Use use = usesByChannel.get(granted.channel());
        if (use != null) {
            use.ownersConnection = granted.connection();
        }
        if (granted.state().isPresent()) {
            known.put(granted.connection(), granted.state().get());
            return granted;
        }
        if (use == null || state.holds(granted.channel())) {
            return granted;
        }
        Optional<ConnectionState> omitted = known.get(granted.connection());
        if (omitted.isEmpty()) {
            throw new IllegalArgumentException("the state of a connection was left out and is unknown");
        }
        return new RelayMessage.Granted(granted.channel(), granted.connection(), omitted, granted.load());
    }

    @Override
    public void onEnded(RelayStream stream, String reason) {
        VmName owner = owners.remove(stream.id());
        streams.remove(owner, stream);
        knownStates.remove(stream.id());
        engine.metrics().sharedConnection(SharedConnectionEvent.STREAM_ENDED);
        apply(new EntryChannelEvent.StreamEnded(owner, reason));
        engine.runPendingSteps();
    }

    private void recordLoad(RelayMessage message) {
        switch (message) {
            case RelayMessage.Queued queued -> recordLoad(queued.channel(), queued.load());
            case RelayMessage.Granted granted -> recordLoad(granted.channel(), granted.load());
            case RelayMessage.Refused refused -> recordLoad(refused.channel(), refused.load());
            case RelayMessage.Replies replies -> recordLoad(replies.channel(), replies.load());
            default -> {}
        }
    }

    private void recordLoad(long channel, Optional<PoolLoad> load) {
        Use use = usesByChannel.get(channel);
        if (use != null) {
            load.ifPresent(known -> loads.put(use.database, new ReceivedLoad(known, engine.now())));
        }
    }

    private void apply(EntryChannelEvent event) {
        Transition<EntryChannels, EntryChannelEffect> transition = state.on(event, engine.now());
        state = transition.state();
        transition.effects().forEach(this::execute);
    }

    private void execute(EntryChannelEffect effect) {
        switch (effect) {
            case EntryChannelEffect.Send send -> {
                if (send.message() instanceof RelayMessage.Acquire) {
                    engine.metrics().sharedConnection(SharedConnectionEvent.REQUESTED);
                }
                RelayStream stream = stream(send.owner());
                stream.send(send.message());
                if (send.message() instanceof RelayMessage.Cancel && !stream.isPinged()) {
                    // A request is mostly withdrawn because the owner doesn't respond; its stream may be dead.
                    stream.ping();
                }
            }
            case EntryChannelEffect.Grant grant -> grant(grant);
            case EntryChannelEffect.UseOwnConnections own -> useOwnConnections(own.request());
            case EntryChannelEffect.Refuse refuse -> refuse(refuse);
            case EntryChannelEffect.DeliverReplies deliver -> deliver(deliver.replies());
            case EntryChannelEffect.LoseConnection lost -> lose(lost);
            case EntryChannelEffect.WakeAt wake ->
                engine.loop().schedule(wake.at(), () -> {
                    apply(new EntryChannelEvent.TimePassed());
                    engine.runPendingSteps();
                });
            case EntryChannelEffect.Log line -> {
                logLines++;
                if (logLines <= MAXIMUM_LOG_LINES_PER_TICK) {
                    engine.log("-", line.decision(), line.detail());
                }
            }
        }
    }

    private RelayStream stream(VmName owner) {
        RelayStream known = streams.get(owner);
        if (known != null) {
            return known;
        }
        StreamConnection[] connection = new StreamConnection[1];
        RelayStream opened = new RelayStream(engine.nextConnectionId(), connection, this, engine::now);
        streams.put(owner, opened);
        owners.put(opened.id(), owner);
        knownStates.put(opened.id(), KnownStates.ofEntryVm());
        engine.metrics().sharedConnection(SharedConnectionEvent.STREAM_OPENED);
        opened.send(new RelayMessage.Hello(state.self()));
        String address = addresses.get(owner);
        if (address == null) {
            engine.loop().execute(() -> opened.onClosed("the address of the VM is unknown"));
        } else {
            connection[0] = engine.loop().connect(SocketAddresses.relayAddressOf(address), opened);
        }
        return opened;
    }

    private void grant(EntryChannelEffect.Grant grant) {
        Use use = usesByChannel.get(grant.channel());
        if (!grant.request().holdsConnection()) {
            use.tracker = ConnectionStateTracker.of(grant.state());
        }
        engine.metrics().sharedConnection(SharedConnectionEvent.GRANTED);
        undeliveredGrants.add(grant.request().id());
        engine.deliver(
                use.session,
                this::confirmGrant,
                new SessionEvent.SlotGranted(grant.request().id(), grant.channel(), use.tracker.state()));
    }

    private void useOwnConnections(SlotRequest request) {
        Use use = usesByRequest.remove(request.id());
        usesByChannel.remove(use.channel);
        DatabaseConnectionPool own = engine.connectionPool(use.database);
        if (own == null) {
            engine.deliver(use.session, new SessionEvent.SlotRefused(request.id(), "the database left", true));
            return;
        }
        if (!engine.sharedConnections().role(own.entry()).isOwner()) {
            engine.metrics().sharedConnection(SharedConnectionEvent.USED_DIRECTLY);
        }
        own.requestSlot(request, use.session);
    }

    private void refuse(EntryChannelEffect.Refuse refuse) {
        Use use = usesByRequest.remove(refuse.request().id());
        engine.metrics().sharedConnection(SharedConnectionEvent.REFUSED);
        if (!state.holds(use.channel)) {
            usesByChannel.remove(use.channel);
        }
        engine.deliver(
                use.session,
                new SessionEvent.SlotRefused(refuse.request().id(), refuse.reason(), refuse.retryOnOtherDatabase()));
    }

    private void deliver(RelayMessage.Replies message) {
        Use use = usesByChannel.get(message.channel());
        try {
            use.replies.addAll(use.decoder.decode(message.encoded()));
        } catch (IllegalArgumentException e) {
            loseInvalid(use, "invalid reply: " + e.getMessage());
            return;
        }
        if (!message.last()) {
            return;
        }
        if (use.expectedReplies == 0 || use.replies.size() != use.expectedReplies) {
            loseInvalid(use, "unexpected number of replies: " + use.replies.size());
            return;
        }
        use.expectedReplies = 0;
        use.tracker = use.tracker.answered(use.replies);
        use.transactionState = use.replies.getLast().transactionState();
        engine.deliver(use.session, new SessionEvent.RepliesReceived(use.channel, use.replies));
    }

    /** The session closes the channel in response. */
    private void loseInvalid(Use use, String reason) {
        engine.log("-", "connection lost", "database=" + use.database + " reason=\"" + reason + "\"");
        engine.deliver(use.session, new SessionEvent.ConnectionLost(use.channel));
    }

    private void lose(EntryChannelEffect.LoseConnection lost) {
        Use use = usesByChannel.get(lost.channel());
        if (use == null) {
            return;
        }
        engine.metrics().sharedConnection(SharedConnectionEvent.LOST);
        long slotRequestId = lost.request().id();
        if (undeliveredGrants.remove(slotRequestId) && !lost.request().holdsConnection()) {
            usesByRequest.remove(slotRequestId);
            usesByChannel.remove(use.channel);
            engine.deliver(use.session, new SessionEvent.SlotRefused(slotRequestId, "the connection was lost", true));
        } else if (lost.byDatabase()) {
            engine.deliver(use.session, new SessionEvent.ConnectionLost(use.channel));
        } else {
            engine.deliverLossByOwner(use.session, new SessionEvent.ConnectionLost(use.channel));
        }
    }
}
