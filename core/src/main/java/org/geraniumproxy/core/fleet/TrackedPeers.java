package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.core.identity.VmName;

/**
 * Addresses and last messages of the other VMs.
 *
 * @param addresses host and port for peer messages, by VM
 * @param lastMessages last message of each VM that has sent one
 */
record TrackedPeers(Map<VmName, String> addresses, Map<VmName, TimestampedPeerMessage> lastMessages) {
    /**
     * Message interval of a small fleet. Shorter intervals would cost more traffic between regions, which is billed.
     */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(400);

    /** Longest interval between messages without changes, so that a lost VM is noticed within seconds. */
    static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(2);

    /**
     * Number of VMs up to which the minimum interval applies. Traffic of a full mesh grows with the square of this
     * number.
     */
    static final int SMALL_FLEET_VMS = 8;

    /**
     * Time without a message after which a peer of a small fleet counts as unreachable; covers several lost messages.
     */
    static final Duration MINIMUM_UNREACHABLE_TIMEOUT = Duration.ofMillis(1500);

    /** Consecutive messages of a larger fleet that may be lost before a peer counts as unreachable. */
    private static final int TOLERATED_LOST_MESSAGES = 3;

    static final TrackedPeers EMPTY = new TrackedPeers(Map.of(), Map.of());

    TrackedPeers {
        addresses = Map.copyOf(addresses);
        lastMessages = Map.copyOf(lastMessages);
    }

    /**
     * Replaces the addresses, but keeps those of reachable peers: their keys may have expired during a store outage.
     */
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

    /** Returns the interval between messages without changes. */
    Duration messageInterval() {
        int vms = addresses.size() + 1;
        Duration interval = MINIMUM_INTERVAL.multipliedBy(vms).dividedBy(SMALL_FLEET_VMS);
        if (vms <= SMALL_FLEET_VMS) {
            return MINIMUM_INTERVAL;
        }
        return interval.compareTo(MAXIMUM_INTERVAL) < 0 ? interval : MAXIMUM_INTERVAL;
    }

    private Duration unreachableTimeout() {
        Duration tolerated = messageInterval().multipliedBy(TOLERATED_LOST_MESSAGES);
        return tolerated.compareTo(MINIMUM_UNREACHABLE_TIMEOUT) > 0 ? tolerated : MINIMUM_UNREACHABLE_TIMEOUT;
    }

    List<TimestampedPeerMessage> reachable(Instant now) {
        Duration timeout = unreachableTimeout();
        return lastMessages.values().stream()
                .filter(peer -> Duration.between(peer.timestamp(), now).compareTo(timeout) < 0)
                .toList();
    }
}
