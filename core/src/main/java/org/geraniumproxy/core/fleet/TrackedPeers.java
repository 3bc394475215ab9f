package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.VmLocation;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;

/**
 * Addresses and last messages of the other VMs.
 *
 * @param addresses host and port for peer messages, by VM
 * @param registered VMs that the store listed last, this one included
 * @param regions regions of the VMs that stated one, this one included
 * @param failureDomains failure domains of the VMs that stated one, this one included
 * @param lastMessages last message of each VM that has sent one
 * @param registeredAt time at which the last confirmed registration of this VM was sent, {@link Instant#MIN} if none
 * @param resumed whether this VM, or no VM at all, was listed before this process registered it
 */
record TrackedPeers(
        Map<VmName, String> addresses,
        Set<VmName> registered,
        Map<VmName, RegionName> regions,
        Map<VmName, FailureDomain> failureDomains,
        Map<VmName, TimestampedPeerMessage> lastMessages,
        Instant registeredAt,
        boolean resumed) {
    /**
     * Time for which a confirmed registration holds. Shorter than the lease of the registration, so that this VM stops
     * to lend before another one begins.
     */
    static final Duration REGISTRATION_VALIDITY = Duration.ofMillis(4500);

    /**
     * Message interval of a small fleet. Shorter intervals would cost more traffic between regions, which is billed.
     */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(400);

    /** Longest interval between messages without changes. A registration in the store expires in this time, too. */
    static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(5);

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

    static final TrackedPeers EMPTY =
            new TrackedPeers(Map.of(), Set.of(), Map.of(), Map.of(), Map.of(), Instant.MIN, false);

    TrackedPeers {
        addresses = Map.copyOf(addresses);
        registered = Set.copyOf(registered);
        regions = Map.copyOf(regions);
        failureDomains = Map.copyOf(failureDomains);
        lastMessages = Map.copyOf(lastMessages);
    }

    /**
     * Replaces the addresses, but keeps those of reachable peers: their keys may have expired during a store outage.
     */
    TrackedPeers update(FleetEvent.VmsListed listed, VmName self, Instant now) {
        Map<VmName, String> joined = listed.addresses();
        boolean listedBefore =
                resumed || (registeredAt.equals(Instant.MIN) && (joined.isEmpty() || joined.containsKey(self)));
        Map<VmName, String> others = new HashMap<>(joined);
        Map<VmName, RegionName> nextRegions = new HashMap<>(listed.regions());
        Map<VmName, FailureDomain> nextDomains = new HashMap<>(listed.failureDomains());
        for (TimestampedPeerMessage peer : reachable(now)) {
            VmName name = peer.message().sender();
            if (addresses.containsKey(name)) {
                others.putIfAbsent(name, addresses.get(name));
                if (regions.containsKey(name)) {
                    nextRegions.putIfAbsent(name, regions.get(name));
                }
                if (failureDomains.containsKey(name)) {
                    nextDomains.putIfAbsent(name, failureDomains.get(name));
                }
            }
        }
        others.remove(self);
        Map<VmName, TimestampedPeerMessage> remaining = new HashMap<>(lastMessages);
        remaining.keySet().retainAll(others.keySet());
        return new TrackedPeers(
                others, joined.keySet(), nextRegions, nextDomains, remaining, registeredAt, listedBefore);
    }

    TrackedPeers receive(PeerMessage message, Instant now) {
        Map<VmName, TimestampedPeerMessage> next = new HashMap<>(lastMessages);
        next.put(message.sender(), new TimestampedPeerMessage(message, now));
        return new TrackedPeers(addresses, registered, regions, failureDomains, next, registeredAt, resumed);
    }

    TrackedPeers confirmRegistration(Instant sentAt) {
        return new TrackedPeers(
                addresses,
                registered,
                regions,
                failureDomains,
                lastMessages,
                sentAt.isAfter(registeredAt) ? sentAt : registeredAt,
                resumed);
    }

    boolean isRegistered(Instant now) {
        return registeredAt.isAfter(now.minus(REGISTRATION_VALIDITY));
    }

    /**
     * Returns the owners of the rates. They follow from the registrations in the store alone, so that all VMs that
     * reach the store agree. A VM whose registration may have expired is no member while another VM reaches the store.
     * If no VM reaches the store, nobody's registrations change.
     */
    RateOwnership ownership(VmName self, Instant now) {
        List<TimestampedPeerMessage> reachable = reachable(now);
        boolean mayBeReplaced = !isRegistered(now)
                && reachable.stream().anyMatch(peer -> peer.message().registered());
        Set<VmName> members = new HashSet<>(registered);
        if (mayBeReplaced) {
            members.remove(self);
            reachable.stream()
                    .filter(peer -> !peer.message().registered())
                    .forEach(peer -> members.remove(peer.message().sender()));
        } else {
            members.add(self);
        }
        Set<VmName> unreachable = new HashSet<>(members);
        unreachable.remove(self);
        reachable.forEach(peer -> unreachable.remove(peer.message().sender()));
        return new RateOwnership(self, members, addresses, unreachable, resumed);
    }

    /** Returns the locations of the VMs that stated a region or a failure domain. */
    Map<VmName, VmLocation> locations() {
        Set<VmName> stated = new HashSet<>(regions.keySet());
        stated.addAll(failureDomains.keySet());
        Map<VmName, VmLocation> locations = new HashMap<>();
        for (VmName vm : stated) {
            locations.put(
                    vm,
                    new VmLocation(Optional.ofNullable(failureDomains.get(vm)), Optional.ofNullable(regions.get(vm))));
        }
        return locations;
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

    /** Returns the reachable VMs that have confirmed that they enforce a promotion, in a set that may be changed. */
    Set<VmName> enforcing(GroupName group, String promotion, Instant now) {
        Set<VmName> enforcing = new HashSet<>();
        for (TimestampedPeerMessage peer : reachable(now)) {
            if (peer.message().enforces(group, promotion)) {
                enforcing.add(peer.message().sender());
            }
        }
        return enforcing;
    }

    List<TimestampedPeerMessage> reachable(Instant now) {
        Duration timeout = unreachableTimeout();
        return lastMessages.values().stream()
                .filter(peer -> Duration.between(peer.timestamp(), now).compareTo(timeout) < 0)
                .toList();
    }
}
