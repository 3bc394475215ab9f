package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.core.identity.VmName;

/**
 * What this VM knows about the other VMs.
 *
 * @param addresses addresses of the other VMs for messages
 * @param lastMessages last message of each other VM
 */
record TrackedPeers(Map<VmName, String> addresses, Map<VmName, TimestampedPeerMessage> lastMessages) {
    /** Interval of messages in a small fleet; their bytes between regions are priced. */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(400);

    /** Longest interval of messages that bring nothing new: a VM that is lost is to be noticed within seconds. */
    static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(2);

    /**
     * VMs up to which messages go out at the shortest interval; the bytes of a mesh grow with the square of the VMs.
     */
    static final int SMALL_FLEET_VMS = 8;

    /** Silence after which another VM counts as not heard, in a small fleet: several lost messages in a row. */
    static final Duration MINIMUM_SILENCE_TIMEOUT = Duration.ofMillis(1500);

    /** Messages that may be lost in a row in a larger fleet. */
    private static final int TOLERATED_LOST_MESSAGES = 3;

    static final TrackedPeers EMPTY = new TrackedPeers(Map.of(), Map.of());

    TrackedPeers {
        addresses = Map.copyOf(addresses);
        lastMessages = Map.copyOf(lastMessages);
    }

    /** A VM that was heard lately exists, whatever the store says: its key may have lapsed while the store was away. */
    TrackedPeers updateAddresses(Map<VmName, String> joined, VmName self, Instant now) {
        Map<VmName, String> others = new HashMap<>(joined);
        for (TimestampedPeerMessage peer : reachable(now)) {
            VmName name = peer.message().sender();
            if (addresses.containsKey(name)) {
                others.putIfAbsent(name, addresses.get(name));
            }
        }
        others.remove(self);
        Map<VmName, TimestampedPeerMessage> remaining = new HashMap<>(lastMessages);
        remaining.keySet().retainAll(others.keySet());
        return new TrackedPeers(others, remaining);
    }

    TrackedPeers receive(PeerMessage message, Instant now) {
        Map<VmName, TimestampedPeerMessage> next = new HashMap<>(lastMessages);
        next.put(message.sender(), new TimestampedPeerMessage(message, now));
        return new TrackedPeers(addresses, next);
    }

    /** Interval of messages that bring nothing new. */
    Duration messageInterval() {
        int vms = addresses.size() + 1;
        Duration interval = MINIMUM_INTERVAL.multipliedBy(vms).dividedBy(SMALL_FLEET_VMS);
        if (vms <= SMALL_FLEET_VMS) {
            return MINIMUM_INTERVAL;
        }
        return interval.compareTo(MAXIMUM_INTERVAL) < 0 ? interval : MAXIMUM_INTERVAL;
    }

    private Duration silenceTimeout() {
        Duration tolerated = messageInterval().multipliedBy(TOLERATED_LOST_MESSAGES);
        return tolerated.compareTo(MINIMUM_SILENCE_TIMEOUT) > 0 ? tolerated : MINIMUM_SILENCE_TIMEOUT;
    }

    List<TimestampedPeerMessage> reachable(Instant now) {
        Duration timeout = silenceTimeout();
        return lastMessages.values().stream()
                .filter(peer -> Duration.between(peer.timestamp(), now).compareTo(timeout) < 0)
                .toList();
    }
}
