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
 * @param candidates first VMs of the ranking for the promotion lease, computed when the addresses change
 * @param ownersCurrentUntil time until which the last computed owners of the rates stay the same while no registration
 *     changes and no VM comes into contact; {@link Instant#MIN} if they must be computed again
 */
record TrackedPeers(
        Map<VmName, String> addresses,
        Set<VmName> registered,
        Map<VmName, RegionName> regions,
        Map<VmName, FailureDomain> failureDomains,
        PeerMessages lastMessages,
        Instant registeredAt,
        boolean resumed,
        Set<VmName> candidates,
        Instant ownersCurrentUntil) {
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

    static final TrackedPeers EMPTY = new TrackedPeers(
            Map.of(), Set.of(), Map.of(), Map.of(), PeerMessages.NONE, Instant.MIN, false, Set.of(), Instant.MIN);

    TrackedPeers {
        addresses = Map.copyOf(addresses);
        registered = Set.copyOf(registered);
        regions = Map.copyOf(regions);
        failureDomains = Map.copyOf(failureDomains);
        candidates = Set.copyOf(candidates);
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
        boolean sameVms = others.keySet().equals(addresses.keySet());
        return new TrackedPeers(
                others,
                joined.keySet(),
                nextRegions,
                nextDomains,
                lastMessages.retainAll(others.keySet()),
                registeredAt,
                listedBefore,
                sameVms ? candidates : PeerExchange.rankCandidates(self, others.keySet()),
                Instant.MIN);
    }

    TrackedPeers receive(PeerMessage message, Instant now) {
        // A VM that stays in contact with the same registration changes no owner.
        boolean unchanged = lastMessages
                .find(message.sender())
                .filter(last -> isRecent(last, unreachableTimeout(), now))
                .filter(last -> last.message().registered() == message.registered())
                .isPresent();
        return new TrackedPeers(
                addresses,
                registered,
                regions,
                failureDomains,
                lastMessages.with(new TimestampedPeerMessage(message, now)),
                registeredAt,
                resumed,
                candidates,
                unchanged ? ownersCurrentUntil : Instant.MIN);
    }

    TrackedPeers confirmRegistration(Instant sentAt, Instant now) {
        return new TrackedPeers(
                addresses,
                registered,
                regions,
                failureDomains,
                lastMessages,
                sentAt.isAfter(registeredAt) ? sentAt : registeredAt,
                resumed,
                candidates,
                isRegistered(now) ? ownersCurrentUntil : Instant.MIN);
    }

    /** Returns whether the last computed owners of the rates still hold. */
    boolean areOwnersCurrent(Instant now) {
        return now.isBefore(ownersCurrentUntil);
    }

    /**
     * Returns the state after the owners were computed. They stay the same until the oldest message of a VM in contact
     * or the registration of this VM expires.
     */
    TrackedPeers withOwnersComputed(Instant now) {
        Duration timeout = unreachableTimeout();
        Instant until = isRegistered(now) ? registeredAt.plus(REGISTRATION_VALIDITY) : Instant.MAX;
        for (TimestampedPeerMessage peer : reachable(now)) {
            Instant expiry = peer.timestamp().plus(timeout);
            until = expiry.isBefore(until) ? expiry : until;
        }
        return new TrackedPeers(
                addresses, registered, regions, failureDomains, lastMessages, registeredAt, resumed, candidates, until);
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
        return lastMessages
                .values()
                .filter(peer -> isRecent(peer, timeout, now))
                .toList();
    }

    private static boolean isRecent(TimestampedPeerMessage peer, Duration timeout, Instant now) {
        return Duration.between(peer.timestamp(), now).compareTo(timeout) < 0;
    }
}
