package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.RendezvousHash;

/**
 * Decides which VMs get which message. The state of groups concerns only those that request promotions: the holder of
 * the promotion lease and the VMs that take it next. All others get a heartbeat, whose size doesn't grow with the
 * number of groups. In a small fleet every VM may hold the lease next and gets everything.
 *
 * @param leaseHolder VM that holds the promotion lease, empty if none does
 * @param lastReport last message with the state of the groups, and when it was sent
 * @param lastHeartbeat last message to the other VMs, and when it was sent
 * @param informed VMs that got the last message with the state of the groups
 * @param claimsChangedAt time at which the claims changed last
 * @param fetch requests for a newer configuration
 */
record PeerExchange(
        Optional<VmName> leaseHolder,
        TimestampedPeerMessage lastReport,
        TimestampedPeerMessage lastHeartbeat,
        Set<VmName> informed,
        Instant claimsChangedAt,
        ConfigurationFetch fetch) {
    /** VMs of a larger fleet that may take the promotion lease at once when it has no holder. */
    static final int CANDIDATES = 3;

    /** Number of heartbeats that repeat a new claim, because datagrams may be lost. */
    private static final int CLAIM_REPETITIONS = 3;

    PeerExchange {
        informed = Set.copyOf(informed);
    }

    static PeerExchange initial(VmName self) {
        TimestampedPeerMessage none = new TimestampedPeerMessage(PeerMessage.initial(self), Instant.MIN);
        return new PeerExchange(Optional.empty(), none, none, Set.of(), Instant.MIN, ConfigurationFetch.NONE);
    }

    /** Returns the VMs that may take the promotion lease at once, which may include this one. */
    static Set<VmName> candidates(VmName self, TrackedPeers peers) {
        return peers.candidates().isEmpty() ? Set.of(self) : peers.candidates();
    }

    /** Ranks the members of a fleet for the promotion lease. */
    static Set<VmName> rankCandidates(VmName self, Set<VmName> others) {
        Set<VmName> members = new HashSet<>(others);
        members.add(self);
        return members.size() <= TrackedPeers.SMALL_FLEET_VMS
                ? members
                : Set.copyOf(RendezvousHash.first("promotion", members, VmName::value, CANDIDATES));
    }

    PeerExchange withLeaseHolder(Optional<VmName> holder) {
        return new PeerExchange(holder, lastReport, lastHeartbeat, informed, claimsChangedAt, fetch);
    }

    PeerExchange with(ConfigurationFetch next) {
        return new PeerExchange(leaseHolder, lastReport, lastHeartbeat, informed, claimsChangedAt, next);
    }

    /**
     * Sends the messages that are due. Failing databases and open promotions are reported each time, because a
     * promotion waits for it. The lease holder tells all VMs of a promotion at once.
     */
    PeerExchange send(PeerMessage message, TrackedPeers peers, Instant now, List<FleetEffect> effects) {
        PeerExchange next = this;
        if (!message.claims().equals(lastReport.message().claims())) {
            next = new PeerExchange(leaseHolder, lastReport, lastHeartbeat, informed, now, fetch);
        }
        Set<VmName> concerned = next.concerned(message.sender(), peers);
        return next.sendReport(message, concerned, peers, now, effects)
                .sendHeartbeat(message, concerned, peers, now, effects);
    }

    private PeerExchange sendReport(
            PeerMessage message, Set<VmName> concerned, TrackedPeers peers, Instant now, List<FleetEffect> effects) {
        boolean changed = message.hasSignificantChangeSince(lastReport.message()) || !informed.containsAll(concerned);
        boolean urgent = message.reportsFailures()
                || message.reportsOpenPromotion()
                || !message.promotions().equals(lastReport.message().promotions());
        boolean due = urgent || isDue(lastReport, changed, peers, now);
        if (!due) {
            return this;
        }
        addEffect(message, concerned, peers, effects);
        return new PeerExchange(
                leaseHolder,
                new TimestampedPeerMessage(message, now),
                lastHeartbeat,
                concerned,
                claimsChangedAt,
                fetch);
    }

    private PeerExchange sendHeartbeat(
            PeerMessage message, Set<VmName> concerned, TrackedPeers peers, Instant now, List<FleetEffect> effects) {
        Duration repetition = peers.messageInterval().multipliedBy(CLAIM_REPETITIONS);
        boolean claimsAreNew = claimsChangedAt.isAfter(now.minus(repetition));
        PeerMessage heartbeat = message.toHeartbeat(claimsAreNew);
        boolean promotionsChanged =
                !heartbeat.promotions().equals(lastHeartbeat.message().promotions());
        boolean changed = !heartbeat.hasSameHeaderAs(lastHeartbeat.message())
                || promotionsChanged
                || (claimsAreNew
                        && !heartbeat.claims().equals(lastHeartbeat.message().claims()));
        boolean urgent = promotionsChanged && leaseHolder.equals(Optional.of(message.sender()));
        if (!urgent && !isDue(lastHeartbeat, changed, peers, now)) {
            return this;
        }
        Set<VmName> others = new HashSet<>(peers.addresses().keySet());
        others.removeAll(concerned);
        addEffect(heartbeat, others, peers, effects);
        return new PeerExchange(
                leaseHolder, lastReport, new TimestampedPeerMessage(heartbeat, now), informed, claimsChangedAt, fetch);
    }

    private Set<VmName> concerned(VmName self, TrackedPeers peers) {
        Set<VmName> concerned = new HashSet<>(candidates(self, peers));
        leaseHolder.ifPresent(concerned::add);
        concerned.retainAll(peers.addresses().keySet());
        return concerned;
    }

    private static boolean isDue(TimestampedPeerMessage last, boolean changed, TrackedPeers peers, Instant now) {
        Duration interval = changed ? TrackedPeers.MINIMUM_INTERVAL : peers.messageInterval();
        return !now.isBefore(last.timestamp().plus(interval));
    }

    private static void addEffect(
            PeerMessage message, Set<VmName> receivers, TrackedPeers peers, List<FleetEffect> effects) {
        if (receivers.isEmpty()) {
            return;
        }
        Map<VmName, String> addresses = new HashMap<>(peers.addresses());
        addresses.keySet().retainAll(receivers);
        effects.add(new FleetEffect.SendToPeers(message, addresses));
    }
}
