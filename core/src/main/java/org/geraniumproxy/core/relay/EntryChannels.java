package org.geraniumproxy.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.OwnerSelection;
import org.geraniumproxy.core.pool.SlotRequest;

/**
 * Channels of the sessions of this VM to the owners of database connections.
 *
 * <p>A request that no owner granted was not sent to the database and moves to the next owner, or to this VM's own
 * connections. A channel that holds a connection is bound to its owner: if that fails, the session's connection is
 * lost.
 *
 * @param selection choice of the owners
 * @param channels channels by number
 * @param self name of this VM
 */
public record EntryChannels(OwnerSelection selection, Map<Long, EntryChannel> channels, VmName self) {
    /** Copies the channels. */
    public EntryChannels {
        channels = Map.copyOf(channels);
    }

    /**
     * Creates a state without channels.
     *
     * @param self name of this VM
     * @param responseMargin time beyond the round trip in which a running owner responds
     * @return the state
     */
    public static EntryChannels initial(VmName self, Duration responseMargin) {
        return new EntryChannels(OwnerSelection.initial(responseMargin), Map.of(), self);
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param now current time
     * @return next state and the effects to carry out
     */
    public Transition<EntryChannels, EntryChannelEffect> on(EntryChannelEvent event, Instant now) {
        List<EntryChannelEffect> effects = new ArrayList<>();
        return Transition.to(apply(event, now, effects), effects);
    }

    /**
     * Returns whether a session holds a connection through a channel.
     *
     * @param channel number of the channel
     * @return false if the channel ended
     */
    public boolean holds(long channel) {
        EntryChannel known = channels.get(channel);
        return known != null && known.connected();
    }

    /**
     * Returns the owner to which a channel is bound.
     *
     * @param channel number of the channel
     * @return name of the VM, empty if the channel ended
     */
    public Optional<VmName> ownerOf(long channel) {
        return Optional.ofNullable(channels.get(channel)).map(EntryChannel::owner);
    }

    /**
     * Returns the number of statements that wait for a database or run there through owners.
     *
     * @param database name of the database
     * @return number of channels with an outstanding slot request
     */
    public int outstandingStatements(BackendServerName database) {
        return (int) channels.values().stream()
                .filter(channel -> channel.database().equals(database))
                .filter(channel -> channel.phase() != EntryChannel.Phase.PARKED)
                .count();
    }

    /**
     * Returns the owners that owe a response or hold a connection for this VM.
     *
     * @return names of the owners
     */
    public Set<VmName> ownersInUse() {
        return channels.values().stream().map(EntryChannel::owner).collect(Collectors.toSet());
    }

    /**
     * Returns the customers that use a database through owners.
     *
     * @param database name of the database
     * @return names of the customers
     */
    public Set<CustomerName> customers(BackendServerName database) {
        return channels.values().stream()
                .filter(channel -> channel.database().equals(database) && channel.connected())
                .map(channel -> channel.request().customer())
                .collect(Collectors.toSet());
    }

    private EntryChannels apply(EntryChannelEvent event, Instant now, List<EntryChannelEffect> effects) {
        return switch (event) {
            case EntryChannelEvent.Requested requested -> request(requested, now, effects);
            case EntryChannelEvent.Cancelled cancelled -> cancel(cancelled.slotRequestId(), effects);
            case EntryChannelEvent.CommandsReady ready -> send(ready.commands(), effects);
            case EntryChannelEvent.SlotReleased released -> releaseSlot(released.slotRequestId(), effects);
            case EntryChannelEvent.ConnectionReturned returned -> giveBack(returned, effects);
            case EntryChannelEvent.ConnectionClosed closed -> close(closed.channel(), effects);
            case EntryChannelEvent.Received received -> receive(received.owner(), received.message(), now, effects);
            case EntryChannelEvent.StreamEnded ended -> endStream(ended, now, effects);
            case EntryChannelEvent.TimePassed _ -> expire(now, effects);
        };
    }

    private EntryChannels request(
            EntryChannelEvent.Requested requested, Instant now, List<EntryChannelEffect> effects) {
        SlotRequest request = requested.request();
        EntryChannel held = channels.get(requested.channel());
        if (held != null) {
            effects.add(
                    new EntryChannelEffect.Send(held.owner(), acquire(held.number(), held.database(), request, now)));
            return with(held.requestedAgain(request, now));
        }
        return ask(requested.channel(), requested.database(), request, requested.owners(), now, effects);
    }

    private EntryChannels ask(
            long number,
            BackendServerName database,
            SlotRequest request,
            List<VmName> owners,
            Instant now,
            List<EntryChannelEffect> effects) {
        Optional<VmName> chosen = selection.next(owners, now);
        if (chosen.isEmpty() || chosen.get().equals(self)) {
            if (chosen.isEmpty()) {
                effects.add(new EntryChannelEffect.Log(
                        "connection used directly",
                        "database=" + database + " reason=\"no owner responds\" owners=" + owners));
            }
            effects.add(new EntryChannelEffect.UseOwnConnections(request));
            return without(number);
        }
        VmName owner = chosen.get();
        List<VmName> others = owners.subList(owners.indexOf(owner) + 1, owners.size());
        effects.add(new EntryChannelEffect.Send(owner, acquire(number, database, request, now)));
        effects.add(new EntryChannelEffect.WakeAt(now.plus(selection.responseTimeout(owner))));
        return with(new EntryChannel(
                number,
                owner,
                database,
                request,
                others,
                EntryChannel.Phase.REQUESTED,
                now,
                false,
                ConnectionState.EMPTY));
    }

    private static RelayMessage.Acquire acquire(
            long number, BackendServerName database, SlotRequest request, Instant now) {
        return new RelayMessage.Acquire(
                number,
                database,
                request.customer(),
                request.weight(),
                request.cost(),
                Duration.between(now, request.deadline()),
                request.holdsConnection());
    }

    private EntryChannels cancel(long slotRequestId, List<EntryChannelEffect> effects) {
        Optional<EntryChannel> found = find(slotRequestId);
        if (found.isEmpty() || found.get().phase() == EntryChannel.Phase.PARKED) {
            return this;
        }
        EntryChannel channel = found.get();
        effects.add(new EntryChannelEffect.Send(channel.owner(), new RelayMessage.Cancel(channel.number())));
        return channel.request().holdsConnection()
                ? with(channel.with(EntryChannel.Phase.PARKED))
                : without(channel.number());
    }

    private EntryChannels send(RelayMessage.Commands commands, List<EntryChannelEffect> effects) {
        EntryChannel channel = channels.get(commands.channel());
        if (channel == null) {
            return this;
        }
        effects.add(new EntryChannelEffect.Send(channel.owner(), commands));
        return commands.endsSlot() ? with(channel.with(EntryChannel.Phase.ENDING)) : this;
    }

    private EntryChannels releaseSlot(long slotRequestId, List<EntryChannelEffect> effects) {
        Optional<EntryChannel> channel = find(slotRequestId);
        if (channel.isEmpty()) {
            return this;
        }
        if (channel.get().phase() == EntryChannel.Phase.GRANTED) {
            effects.add(new EntryChannelEffect.Send(
                    channel.get().owner(),
                    new RelayMessage.ReleaseSlot(channel.get().number())));
        }
        return with(channel.get().with(EntryChannel.Phase.PARKED));
    }

    private EntryChannels giveBack(EntryChannelEvent.ConnectionReturned returned, List<EntryChannelEffect> effects) {
        EntryChannel channel = channels.get(returned.channel());
        if (channel == null) {
            return this;
        }
        Optional<ConnectionState> changed =
                returned.state().equals(channel.state()) ? Optional.empty() : Optional.of(returned.state());
        effects.add(new EntryChannelEffect.Send(
                channel.owner(), new RelayMessage.Release(channel.number(), changed, returned.rollback())));
        return without(channel.number());
    }

    private EntryChannels close(long number, List<EntryChannelEffect> effects) {
        EntryChannel channel = channels.get(number);
        if (channel == null) {
            return this;
        }
        effects.add(new EntryChannelEffect.Send(channel.owner(), new RelayMessage.Close(number)));
        return without(number);
    }

    /** Messages for channels that have ended crossed the message that ended them, and are ignored. */
    private EntryChannels receive(VmName owner, RelayMessage message, Instant now, List<EntryChannelEffect> effects) {
        return switch (message) {
            case RelayMessage.Queued queued -> queued(find(owner, queued.channel()), now);
            case RelayMessage.Granted granted -> granted(find(owner, granted.channel()), granted, now, effects);
            case RelayMessage.Refused refused -> refused(find(owner, refused.channel()), refused, now, effects);
            case RelayMessage.Replies replies -> replies(find(owner, replies.channel()), replies, effects);
            case RelayMessage.Lost lost -> lost(find(owner, lost.channel()), lost, effects);
            case RelayMessage.Pong _ -> this;
            case RelayMessage.Hello _,
                    RelayMessage.Ping _,
                    RelayMessage.Acquire _,
                    RelayMessage.Commands _,
                    RelayMessage.ReleaseSlot _,
                    RelayMessage.Release _,
                    RelayMessage.Cancel _,
                    RelayMessage.Close _ ->
                throw new IllegalArgumentException(
                        "an owner does not send " + message.getClass().getSimpleName());
        };
    }

    private EntryChannels queued(Optional<EntryChannel> channel, Instant now) {
        return channel.filter(known -> known.phase() == EntryChannel.Phase.REQUESTED)
                .map(known -> responded(known, now).with(known.with(EntryChannel.Phase.QUEUED)))
                .orElse(this);
    }

    private EntryChannels granted(
            Optional<EntryChannel> found, RelayMessage.Granted granted, Instant now, List<EntryChannelEffect> effects) {
        if (found.filter(EntryChannel::awaitsGrant).isEmpty()) {
            return this;
        }
        EntryChannel channel = found.get();
        EntryChannel next = channel.granted(granted.state().orElse(channel.state()));
        effects.add(new EntryChannelEffect.Grant(next.request(), next.number(), next.state()));
        return responded(channel, now).with(next);
    }

    private EntryChannels refused(
            Optional<EntryChannel> found, RelayMessage.Refused refused, Instant now, List<EntryChannelEffect> effects) {
        if (found.filter(EntryChannel::awaitsGrant).isEmpty()) {
            return this;
        }
        EntryChannel channel = found.get();
        EntryChannels responded = responded(channel, now);
        String detail = "database=" + channel.database() + " owner=" + channel.owner() + " reason=" + refused.reason();
        if (channel.connected()) {
            effects.add(refusal(channel, refused, false));
            return responded.with(channel.with(EntryChannel.Phase.PARKED));
        }
        return switch (refused.reason()) {
            case NOT_OWNER -> {
                effects.add(new EntryChannelEffect.Log("owner declined", detail));
                yield responded.askNext(channel, now, effects);
            }
            case STOPPING -> {
                effects.add(new EntryChannelEffect.Log("owner declined", detail));
                yield responded.avoid(channel.owner(), now).askNext(channel, now, effects);
            }
            case DATABASE_UNAVAILABLE, QUEUE -> {
                effects.add(refusal(channel, refused, refused.reason() == RefusalReason.DATABASE_UNAVAILABLE));
                yield responded.without(channel.number());
            }
        };
    }

    private static EntryChannelEffect.Refuse refusal(
            EntryChannel channel, RelayMessage.Refused refused, boolean retryOnOtherDatabase) {
        return new EntryChannelEffect.Refuse(
                channel.request(),
                "owner " + channel.owner() + " refused: " + refused.reason() + "; retry after "
                        + refused.retryAfter().toMillis() + " ms",
                retryOnOtherDatabase);
    }

    private EntryChannels replies(
            Optional<EntryChannel> channel, RelayMessage.Replies replies, List<EntryChannelEffect> effects) {
        if (channel.filter(EntryChannel::connected).isEmpty()) {
            return this;
        }
        effects.add(new EntryChannelEffect.DeliverReplies(channel.get().request(), replies));
        return this;
    }

    private EntryChannels lost(
            Optional<EntryChannel> channel, RelayMessage.Lost lost, List<EntryChannelEffect> effects) {
        if (channel.isEmpty()) {
            return this;
        }
        effects.add(new EntryChannelEffect.Log(
                "connection lost",
                "database=" + channel.get().database() + " owner="
                        + channel.get().owner() + " reason=\"" + lost.reason() + "\""));
        effects.add(new EntryChannelEffect.LoseConnection(
                channel.get().request(), channel.get().number(), true));
        return without(channel.get().number());
    }

    private EntryChannels endStream(
            EntryChannelEvent.StreamEnded ended, Instant now, List<EntryChannelEffect> effects) {
        List<EntryChannel> affected = channels.values().stream()
                .filter(channel -> channel.owner().equals(ended.owner()))
                .toList();
        EntryChannels next = avoid(ended.owner(), now);
        if (!affected.isEmpty()) {
            effects.add(new EntryChannelEffect.Log(
                    "owner lost",
                    "owner=" + ended.owner() + " channels=" + affected.size() + " reason=\"" + ended.reason() + "\""));
        }
        for (EntryChannel channel : affected) {
            if (channel.connected()) {
                effects.add(new EntryChannelEffect.LoseConnection(channel.request(), channel.number(), false));
                next = next.without(channel.number());
            } else {
                next = next.askNext(channel, now, effects);
            }
        }
        return next;
    }

    /** Moves the requests to which an owner has not responded in time. */
    private EntryChannels expire(Instant now, List<EntryChannelEffect> effects) {
        EntryChannels next = this;
        Predicate<EntryChannel> isOverdue = channel -> channel.phase() == EntryChannel.Phase.REQUESTED
                && !channel.connected()
                && !now.isBefore(channel.requestedAt().plus(selection.responseTimeout(channel.owner())));
        for (EntryChannel channel : channels.values().stream().filter(isOverdue).toList()) {
            effects.add(new EntryChannelEffect.Log(
                    "owner does not respond",
                    "owner=" + channel.owner() + " database=" + channel.database() + " waited="
                            + Duration.between(channel.requestedAt(), now).toMillis() + "ms"));
            effects.add(new EntryChannelEffect.Send(channel.owner(), new RelayMessage.Cancel(channel.number())));
            next = next.avoid(channel.owner(), now).askNext(channel, now, effects);
        }
        return next;
    }

    private EntryChannels askNext(EntryChannel channel, Instant now, List<EntryChannelEffect> effects) {
        return ask(channel.number(), channel.database(), channel.request(), channel.otherOwners(), now, effects);
    }

    private EntryChannels avoid(VmName owner, Instant now) {
        return new EntryChannels(selection.avoid(owner, now), channels, self);
    }

    private EntryChannels responded(EntryChannel channel, Instant now) {
        if (channel.phase() != EntryChannel.Phase.REQUESTED) {
            return this;
        }
        Duration roundTrip = Duration.between(channel.requestedAt(), now);
        return new EntryChannels(selection.responded(channel.owner(), roundTrip), channels, self);
    }

    private Optional<EntryChannel> find(VmName owner, long number) {
        return Optional.ofNullable(channels.get(number))
                .filter(channel -> channel.owner().equals(owner));
    }

    private Optional<EntryChannel> find(long slotRequestId) {
        return channels.values().stream()
                .filter(channel -> channel.request().id() == slotRequestId)
                .findFirst();
    }

    private EntryChannels with(EntryChannel channel) {
        Map<Long, EntryChannel> next = new HashMap<>(channels);
        next.put(channel.number(), channel);
        return new EntryChannels(selection, next, self);
    }

    private EntryChannels without(long number) {
        if (!channels.containsKey(number)) {
            return this;
        }
        Map<Long, EntryChannel> next = new HashMap<>(channels);
        next.remove(number);
        return new EntryChannels(selection, next, self);
    }
}
