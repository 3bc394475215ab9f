package org.geraniumproxy.core.limit;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.RendezvousHash;

/**
 * Which VM owns the rate of each customer, and which ones hold a part of it for the time in which the owner doesn't
 * answer. All VMs that read the same registrations agree, and a member that joins or leaves changes few of them.
 *
 * @param self name of this VM
 * @param members registered VMs; this one is missing while its registration may have expired
 * @param addresses host and port for messages of the other VMs, registered or not
 * @param unreachable members that may use their parts, because this VM doesn't hear from them
 * @param resumed whether this VM was a member when its process started, or there was no member, so that no other VM
 *     owns its rates
 */
public record RateOwnership(
        VmName self, Set<VmName> members, Map<VmName, String> addresses, Set<VmName> unreachable, boolean resumed) {
    /** Copies the collections. A VM that knows no member is the only one. */
    public RateOwnership {
        members = members.isEmpty() ? Set.of(self) : Set.copyOf(members);
        addresses = Map.copyOf(addresses);
        unreachable = Set.copyOf(unreachable);
    }

    /**
     * Returns the ownership of a VM that knows no other one.
     *
     * @param self name of the VM
     * @return ownership of all rates
     */
    public static RateOwnership alone(VmName self) {
        return new RateOwnership(self, Set.of(self), Map.of(), Set.of(), false);
    }

    /**
     * Returns the ownership without this VM.
     *
     * @return ownership of the other members, empty if there are none
     */
    public Optional<RateOwnership> withoutSelf() {
        Set<VmName> others = new HashSet<>(members);
        others.remove(self);
        return others.isEmpty()
                ? Optional.empty()
                : Optional.of(new RateOwnership(self, others, addresses, unreachable, false));
    }

    /**
     * Ranks the VMs that hold a part of a customer's rate. Each part has at least one token of the burst, because a VM
     * with less could never admit an operation.
     *
     * @param customer name of the customer
     * @param burst burst of the customer
     * @return holders of equal parts, the owner of the whole rate first
     */
    public List<VmName> holders(CustomerName customer, int burst) {
        return RendezvousHash.first(keyOf(customer), members, VmName::value, parts(burst));
    }

    /**
     * Ranks the holders after a change of the members. Costs one hash for each holder and each VM that joined; all
     * members are ranked again only if one of several holders left and any other member may take its place.
     *
     * @param customer name of the customer
     * @param burst burst of the customer, the same as before
     * @param change change of the members
     * @param previousHolders holders before the change
     * @return the same holders as {@link #holders(CustomerName, int)}
     */
    public List<VmName> holders(CustomerName customer, int burst, MemberChange change, List<VmName> previousHolders) {
        boolean allWereHolders = previousHolders.size() == change.previousCount();
        List<VmName> remaining =
                previousHolders.stream().filter(members::contains).toList();
        if (!allWereHolders && remaining.size() < previousHolders.size()) {
            return holders(customer, burst);
        }
        List<VmName> ranked = RendezvousHash.insert(keyOf(customer), remaining, change.joined(), VmName::value);
        return ranked.subList(0, Math.min(ranked.size(), parts(burst)));
    }

    /**
     * Returns how the members differ from those of an earlier ownership.
     *
     * @param previous earlier ownership
     * @return the change
     */
    public MemberChange changeSince(RateOwnership previous) {
        List<VmName> joined =
                members.stream().filter(vm -> !previous.members.contains(vm)).toList();
        boolean changed = !joined.isEmpty() || members.size() != previous.members.size();
        return new MemberChange(previous.members.size(), joined, changed);
    }

    private int parts(int burst) {
        return Math.max(1, Math.min(members.size(), burst));
    }

    private static String keyOf(CustomerName customer) {
        return "rate/" + customer.value();
    }

    /**
     * Returns the fraction of a rate that its owner may lend. Unreachable holders keep their parts.
     *
     * @param holders holders of the rate
     * @return fraction from 0 to 1
     */
    public double lendableFraction(List<VmName> holders) {
        long kept = holders.stream().filter(unreachable::contains).count();
        return 1 - (double) kept / holders.size();
    }
}
