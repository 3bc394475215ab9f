package org.geraniumproxy.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumproxy.core.identity.VmName;

/**
 * Last message of each VM. Messages arrive far more often than registrations change, and a copy of the whole map for
 * each of them would cost time that grows with the square of the fleet. Therefore a new message replaces one part of
 * the map only.
 *
 * @param parts the messages, divided by the hash of the sender
 */
record PeerMessages(List<Map<VmName, TimestampedPeerMessage>> parts) {
    /** About the square root of the design size, so that the list and a part are equally long there. */
    private static final int PARTS = 64;

    static final PeerMessages NONE = new PeerMessages(Collections.nCopies(PARTS, Map.of()));

    PeerMessages {
        parts = List.copyOf(parts);
    }

    Optional<TimestampedPeerMessage> find(VmName vm) {
        return Optional.ofNullable(parts.get(partOf(vm)).get(vm));
    }

    Stream<TimestampedPeerMessage> values() {
        return parts.stream().flatMap(part -> part.values().stream());
    }

    /** Replaces the last message of its sender. */
    PeerMessages with(TimestampedPeerMessage message) {
        VmName sender = message.message().sender();
        int number = partOf(sender);
        Map<VmName, TimestampedPeerMessage> part = new HashMap<>(parts.get(number));
        part.put(sender, message);
        List<Map<VmName, TimestampedPeerMessage>> next = new ArrayList<>(parts);
        next.set(number, Map.copyOf(part));
        return new PeerMessages(next);
    }

    /** Drops the messages of all other VMs. */
    PeerMessages retainAll(Set<VmName> vms) {
        List<Map<VmName, TimestampedPeerMessage>> next = new ArrayList<>();
        for (Map<VmName, TimestampedPeerMessage> part : parts) {
            if (vms.containsAll(part.keySet())) {
                next.add(part);
            } else {
                Map<VmName, TimestampedPeerMessage> retained = new HashMap<>(part);
                retained.keySet().retainAll(vms);
                next.add(Map.copyOf(retained));
            }
        }
        return new PeerMessages(next);
    }

    private static int partOf(VmName vm) {
        return Math.floorMod(vm.hashCode(), PARTS);
    }
}
