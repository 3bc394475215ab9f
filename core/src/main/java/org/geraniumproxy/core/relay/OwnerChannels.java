package org.geraniumproxy.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.pool.SlotRequest;

/**
 * Channels of other VMs on the connections that this VM owns. A channel requests slots from the pool of its database as
 * a session of this VM does. Commands are sent to the database once and never repeated.
 *
 * @param channels channels by session
 * @param sessions sessions of the channels
 * @param owned databases of which this VM owns connections
 * @param stopping whether this VM stops
 * @param lastSession session of the newest channel; the sessions of channels are negative
 */
public record OwnerChannels(
        Map<Long, OwnerChannel> channels,
        Map<OwnerChannel.Key, Long> sessions,
        Set<BackendServerName> owned,
        boolean stopping,
        long lastSession) {
    /** State without channels. */
    public static final OwnerChannels NONE = new OwnerChannels(Map.of(), Map.of(), Set.of(), false, 0);

    /** Copies the collections. */
    public OwnerChannels {
        channels = Map.copyOf(channels);
        sessions = Map.copyOf(sessions);
        owned = Set.copyOf(owned);
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param now current time
     * @return next state and the effects to carry out
     */
    public Transition<OwnerChannels, OwnerChannelEffect> on(OwnerChannelEvent event, Instant now) {
        List<OwnerChannelEffect> effects = new ArrayList<>();
        return Transition.to(apply(event, now, effects), effects);
    }

    /**
     * Returns whether a channel waits for a slot.
     *
     * @param session session of the channel
     * @return false if it doesn't or has ended
     */
    public boolean isWaiting(long session) {
        return find(session)
                .filter(channel -> channel.slot() == OwnerChannel.Slot.WAITING)
                .isPresent();
    }

    /**
     * Returns the database of a channel.
     *
     * @param session session of the channel
     * @return its name, empty if the channel has ended
     */
    public Optional<BackendServerName> database(long session) {
        return find(session).map(OwnerChannel::database);
    }

    /**
     * Returns the stream of a channel.
     *
     * @param session session of the channel
     * @return its number, empty if the channel has ended
     */
    public Optional<Long> stream(long session) {
        return find(session).map(channel -> channel.key().stream());
    }

    /**
     * Returns the connection of a channel.
     *
     * @param stream stream of the entry VM
     * @param channel number of the channel
     * @return id of the connection, empty if the channel holds none or has ended
     */
    public Optional<Long> connection(long stream, long channel) {
        return find(stream, channel).filter(OwnerChannel::hasConnection).map(OwnerChannel::connection);
    }

    /**
     * Returns whether a stream has channels.
     *
     * @param stream number of the stream
     * @return false if none is left
     */
    public boolean usesStream(long stream) {
        return sessions.keySet().stream().anyMatch(key -> key.stream() == stream);
    }

    /**
     * Returns the number of statements of other VMs that wait for a slot of a database or use one.
     *
     * @param database name of the database
     * @return channels whose last slot request has not ended
     */
    public int outstandingStatements(BackendServerName database) {
        return (int) channels.values().stream()
                .filter(channel -> channel.database().equals(database))
                .filter(channel -> channel.slot() != OwnerChannel.Slot.NONE)
                .count();
    }

    /**
     * Returns whether a database has channels.
     *
     * @param database name of the database
     * @return false if none is left
     */
    public boolean uses(BackendServerName database) {
        return channels.values().stream().anyMatch(channel -> channel.database().equals(database));
    }

    /**
     * Returns the session of a channel.
     *
     * @param stream stream of the entry VM
     * @param channel number of the channel
     * @return session, empty if the channel has ended
     */
    public Optional<Long> session(long stream, long channel) {
        return Optional.ofNullable(sessions.get(new OwnerChannel.Key(stream, channel)));
    }

    private OwnerChannels apply(OwnerChannelEvent event, Instant now, List<OwnerChannelEffect> effects) {
        return switch (event) {
            case OwnerChannelEvent.Received received -> receive(received.stream(), received.message(), now, effects);
            case OwnerChannelEvent.SlotGranted granted ->
                find(granted.session())
                        .map(channel -> granted(channel, granted, effects))
                        .orElse(this);
            case OwnerChannelEvent.SlotRefused refused ->
                find(refused.session())
                        .map(channel -> refused(channel, refused, effects))
                        .orElse(this);
            case OwnerChannelEvent.SlotPending pending -> {
                find(pending.session())
                        .ifPresent(channel -> send(
                                channel, new RelayMessage.Queued(channel.key().channel(), pending.load()), effects));
                yield this;
            }
            case OwnerChannelEvent.Answered answered ->
                find(answered.session())
                        .map(channel -> answered(channel, answered, effects))
                        .orElse(this);
            case OwnerChannelEvent.ConnectionLost lost ->
                find(lost.session())
                        .map(channel -> lost(channel, lost, effects))
                        .orElse(this);
            case OwnerChannelEvent.StreamEnded ended -> endStream(ended.stream(), effects);
            case OwnerChannelEvent.RolesChanged changed -> changeRoles(changed, effects);
        };
    }

    /** Messages for channels that have ended crossed the message that ended them, and are ignored. */
    private OwnerChannels receive(long stream, RelayMessage message, Instant now, List<OwnerChannelEffect> effects) {
        return switch (message) {
            case RelayMessage.Hello _ -> this;
            case RelayMessage.Ping _ -> {
                effects.add(new OwnerChannelEffect.Send(stream, new RelayMessage.Pong()));
                yield this;
            }
            case RelayMessage.Acquire acquire -> acquire(stream, acquire, now, effects);
            case RelayMessage.Commands commands ->
                find(stream, commands.channel())
                        .map(channel -> forward(channel, commands, effects))
                        .orElse(this);
            case RelayMessage.ReleaseSlot release ->
                find(stream, release.channel())
                        .filter(OwnerChannel::holdsSlot)
                        .map(channel -> releaseSlot(channel, effects))
                        .orElse(this);
            case RelayMessage.Release release ->
                find(stream, release.channel())
                        .map(channel -> release(channel, release, effects))
                        .orElse(this);
            case RelayMessage.Cancel cancel ->
                find(stream, cancel.channel())
                        .map(channel -> cancel(channel, effects))
                        .orElse(this);
            case RelayMessage.Close close ->
                find(stream, close.channel())
                        .map(channel -> close(channel, effects))
                        .orElse(this);
            case RelayMessage.Pong _,
                    RelayMessage.Queued _,
                    RelayMessage.Granted _,
                    RelayMessage.Refused _,
                    RelayMessage.Replies _,
                    RelayMessage.Lost _ ->
                throw new IllegalArgumentException(
                        "an entry VM does not send " + message.getClass().getSimpleName());
        };
    }

    private OwnerChannels acquire(
            long stream, RelayMessage.Acquire acquire, Instant now, List<OwnerChannelEffect> effects) {
        Optional<OwnerChannel> held = find(stream, acquire.channel()).filter(OwnerChannel::hasConnection);
        if (acquire.holdsConnection() != held.isPresent()
                || held.filter(OwnerChannel::holdsSlot).isPresent()) {
            if (held.isPresent()) {
                throw new IllegalArgumentException("a channel requests a slot although it has one");
            }
            effects.add(new OwnerChannelEffect.Send(
                    stream, new RelayMessage.Lost(acquire.channel(), "the channel holds no connection")));
            return this;
        }
        if (held.isEmpty() && (stopping || !owned.contains(acquire.database()))) {
            RefusalReason reason = stopping ? RefusalReason.STOPPING : RefusalReason.NOT_OWNER;
            effects.add(new OwnerChannelEffect.Send(
                    stream, new RelayMessage.Refused(acquire.channel(), reason, Duration.ZERO, Optional.empty())));
            return this;
        }
        long session = held.map(OwnerChannel::session).orElse(lastSession - 1);
        long requestId =
                held.map(channel -> channel.request().id() + 1).orElse(CallerSession.firstRequestIdOf(session));
        SlotRequest request = new SlotRequest(
                requestId,
                acquire.customer(),
                acquire.weight(),
                acquire.cost(),
                now.plus(acquire.remaining()),
                acquire.holdsConnection());
        effects.add(new OwnerChannelEffect.RequestSlot(acquire.database(), request));
        return held.map(channel -> with(channel.requesting(request)))
                .orElseGet(() -> with(new OwnerChannel(
                        new OwnerChannel.Key(stream, acquire.channel()),
                        session,
                        acquire.database(),
                        request,
                        OwnerChannel.Slot.WAITING,
                        OwnerChannel.NO_CONNECTION,
                        ConnectionState.EMPTY,
                        false,
                        false)));
    }

    private OwnerChannels granted(
            OwnerChannel channel, OwnerChannelEvent.SlotGranted granted, List<OwnerChannelEffect> effects) {
        boolean held = channel.hasConnection();
        send(
                channel,
                new RelayMessage.Granted(
                        channel.key().channel(),
                        granted.connection(),
                        held ? Optional.empty() : Optional.of(granted.state()),
                        granted.load()),
                effects);
        return with(channel.granted(granted.connection(), granted.state()));
    }

    private OwnerChannels refused(
            OwnerChannel channel, OwnerChannelEvent.SlotRefused refused, List<OwnerChannelEffect> effects) {
        send(
                channel,
                new RelayMessage.Refused(
                        channel.key().channel(), refused.reason(), refused.retryAfter(), refused.load()),
                effects);
        return channel.hasConnection() ? with(channel.withoutSlot()) : without(channel);
    }

    private OwnerChannels forward(
            OwnerChannel channel, RelayMessage.Commands commands, List<OwnerChannelEffect> effects) {
        if (!channel.hasConnection() || channel.running() || !channel.holdsSlot()) {
            throw new IllegalArgumentException("a channel sends commands without a slot, or before the last replies");
        }
        effects.add(new OwnerChannelEffect.SendToDatabase(
                channel.database(), channel.connection(), commands.replies(), commands.encoded()));
        return with(channel.sending(commands.endsSlot()));
    }

    private OwnerChannels answered(
            OwnerChannel channel, OwnerChannelEvent.Answered answered, List<OwnerChannelEffect> effects) {
        send(
                channel,
                new RelayMessage.Replies(channel.key().channel(), true, answered.encoded(), answered.load()),
                effects);
        if (channel.slot() == OwnerChannel.Slot.ENDING) {
            effects.add(new OwnerChannelEffect.ReleaseSlot(
                    channel.database(), channel.request().id()));
        }
        return with(channel.answered());
    }

    private OwnerChannels releaseSlot(OwnerChannel channel, List<OwnerChannelEffect> effects) {
        effects.add(new OwnerChannelEffect.ReleaseSlot(
                channel.database(), channel.request().id()));
        return with(channel.withoutSlot());
    }

    private OwnerChannels release(
            OwnerChannel channel, RelayMessage.Release release, List<OwnerChannelEffect> effects) {
        if (channel.running() || !channel.hasConnection()) {
            return close(channel, effects);
        }
        releaseSlotOf(channel, effects);
        effects.add(new OwnerChannelEffect.ReturnConnection(
                channel.database(),
                channel.connection(),
                release.changedState().orElse(channel.state()),
                release.rollback()));
        return without(channel);
    }

    /** The connection of a request that was granted meanwhile is unused, unless the channel held it before. */
    private OwnerChannels cancel(OwnerChannel channel, List<OwnerChannelEffect> effects) {
        if (channel.request().holdsConnection()) {
            releaseSlotOf(channel, effects);
            return with(channel.withoutSlot());
        }
        return channel.hasConnection()
                ? release(channel, new RelayMessage.Release(channel.key().channel(), Optional.empty(), false), effects)
                : close(channel, effects);
    }

    private OwnerChannels close(OwnerChannel channel, List<OwnerChannelEffect> effects) {
        releaseSlotOf(channel, effects);
        if (channel.hasConnection()) {
            effects.add(new OwnerChannelEffect.CloseConnection(channel.database(), channel.connection()));
        }
        return without(channel);
    }

    private OwnerChannels lost(
            OwnerChannel channel, OwnerChannelEvent.ConnectionLost lost, List<OwnerChannelEffect> effects) {
        send(channel, new RelayMessage.Lost(channel.key().channel(), lost.reason()), effects);
        return close(channel, effects);
    }

    /**
     * Ends the channels of a stream. Once commands were sent, only the entry VM knows the state of a connection, so
     * that it is closed; the database then rolls an open transaction back.
     */
    private OwnerChannels endStream(long stream, List<OwnerChannelEffect> effects) {
        OwnerChannels next = this;
        for (OwnerChannel channel : List.copyOf(channels.values())) {
            if (channel.key().stream() == stream) {
                next = channel.used() || !channel.hasConnection()
                        ? next.close(channel, effects)
                        : next.release(
                                channel,
                                new RelayMessage.Release(channel.key().channel(), Optional.empty(), false),
                                effects);
            }
        }
        return next;
    }

    /** Channels that hold a connection go on; requests that wait for one move to the next owner. */
    private OwnerChannels changeRoles(OwnerChannelEvent.RolesChanged changed, List<OwnerChannelEffect> effects) {
        OwnerChannels next = new OwnerChannels(channels, sessions, changed.owned(), changed.stopping(), lastSession);
        if (changed.owned().equals(owned) && changed.stopping() == stopping) {
            return next;
        }
        for (OwnerChannel channel : List.copyOf(channels.values())) {
            boolean declined = changed.stopping() || !changed.owned().contains(channel.database());
            if (declined && channel.slot() == OwnerChannel.Slot.WAITING && !channel.hasConnection()) {
                RefusalReason reason = changed.stopping() ? RefusalReason.STOPPING : RefusalReason.NOT_OWNER;
                send(
                        channel,
                        new RelayMessage.Refused(channel.key().channel(), reason, Duration.ZERO, Optional.empty()),
                        effects);
                next = next.close(channel, effects);
            }
        }
        return next;
    }

    private static void releaseSlotOf(OwnerChannel channel, List<OwnerChannelEffect> effects) {
        if (channel.slot() == OwnerChannel.Slot.WAITING) {
            effects.add(new OwnerChannelEffect.CancelRequest(
                    channel.database(), channel.request().id()));
        } else if (channel.holdsSlot()) {
            effects.add(new OwnerChannelEffect.ReleaseSlot(
                    channel.database(), channel.request().id()));
        }
    }

    private static void send(OwnerChannel channel, RelayMessage message, List<OwnerChannelEffect> effects) {
        effects.add(new OwnerChannelEffect.Send(channel.key().stream(), message));
    }

    private Optional<OwnerChannel> find(long session) {
        return Optional.ofNullable(channels.get(session));
    }

    private Optional<OwnerChannel> find(long stream, long number) {
        return session(stream, number).flatMap(this::find);
    }

    private OwnerChannels with(OwnerChannel channel) {
        Map<Long, OwnerChannel> next = new HashMap<>(channels);
        next.put(channel.session(), channel);
        Map<OwnerChannel.Key, Long> nextSessions = sessions;
        if (!sessions.containsKey(channel.key())) {
            nextSessions = new HashMap<>(sessions);
            nextSessions.put(channel.key(), channel.session());
        }
        return new OwnerChannels(next, nextSessions, owned, stopping, Math.min(lastSession, channel.session()));
    }

    private OwnerChannels without(OwnerChannel channel) {
        Map<Long, OwnerChannel> next = new HashMap<>(channels);
        next.remove(channel.session());
        Map<OwnerChannel.Key, Long> nextSessions = new HashMap<>(sessions);
        nextSessions.remove(channel.key());
        return new OwnerChannels(next, nextSessions, owned, stopping, lastSession);
    }
}
