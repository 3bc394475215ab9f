package org.geraniumproxy.core.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.VmName;

/** Transitions of a VM's view. */
public final class ViewTransitions {
    private ViewTransitions() {}

    /**
     * Applies an event.
     *
     * @param state current view
     * @param event input of the view
     * @param now current time on this VM's clock
     * @return next view and its effects
     */
    public static Transition<ViewState, ViewEffect> apply(ViewState state, ViewEvent event, Instant now) {
        Transition<ViewState, ViewEffect> transition = switch (event) {
            case ViewEvent.ManifestRead read -> Transition.to(manifestRead(state, read));
            case ViewEvent.RosterRead read -> Transition.to(rosterRead(state, read, now));
            case ViewEvent.PeerReplied reply -> Transition.to(peerReplied(state, reply, now));
            case ViewEvent.PeerRequested request ->
                Transition.to(recordContact(state, request.vm(), request.leaving(), now));
            case ViewEvent.TimePassed passed -> Transition.to(state, effects(state, now));
            case ViewEvent.DrainStarted started -> Transition.to(state.withDraining(), effects(state, now));
        };
        requireMonotonicRevisions(state, transition.state());
        return transition;
    }

    private static void requireMonotonicRevisions(ViewState previous, ViewState next) {
        InvariantViolation.check(
                next.configuration().number() >= previous.configuration().number(),
                "the configuration never moves to a lower revision");
        InvariantViolation.check(
                next.roster().revision() >= previous.roster().revision(), "the roster never moves to a lower revision");
    }

    private static ViewState manifestRead(ViewState state, ViewEvent.ManifestRead read) {
        // A reply with an older revision was overtaken by a newer one and proves nothing.
        if (read.configuration().number() < state.configuration().number()) {
            return state;
        }
        return state.withConfiguration(read.configuration())
                .withProofs(state.proofs().manifestRead(read.requestSentAt()));
    }

    private static ViewState rosterRead(ViewState state, ViewEvent.RosterRead read, Instant now) {
        if (read.roster().revision() < state.roster().revision()) {
            return state;
        }
        return adoptRoster(state, read.roster(), now).withProofs(state.proofs().rosterRead(read.requestSentAt()));
    }

    private static ViewState peerReplied(ViewState state, ViewEvent.PeerReplied reply, Instant now) {
        ViewState updated = state;
        if (reply.configuration().isPresent()) {
            updated = updated.withConfiguration(reply.configuration().get());
        }
        if (reply.roster().isPresent()) {
            updated = adoptRoster(updated, reply.roster().get(), now);
        }
        updated = recordContact(updated, reply.vm(), reply.leaving(), now);
        if (hasNewerRevision(reply, updated)) {
            return updated;
        }
        updated = countVote(updated, reply);
        if (reply.age().isEmpty() || !hasSameRevisions(reply, updated)) {
            return updated;
        }
        Instant provenAt = reply.requestSentAt().minus(reply.age().get());
        return updated.withProofs(updated.proofs().peerProved(provenAt));
    }

    private static boolean hasNewerRevision(ViewEvent.PeerReplied reply, ViewState state) {
        return reply.configurationRevision() > state.configuration().number()
                || reply.rosterRevision() > state.roster().revision();
    }

    private static boolean hasSameRevisions(ViewEvent.PeerReplied reply, ViewState state) {
        return reply.configurationRevision() == state.configuration().number()
                && reply.rosterRevision() == state.roster().revision();
    }

    private static ViewState countVote(ViewState state, ViewEvent.PeerReplied reply) {
        PeerState peer = state.peers().get(reply.vm());
        if (peer == null || !reply.mayVote()) {
            return state;
        }
        ViewState voted = state.withPeers(with(state.peers(), reply.vm(), peer.voted(reply.requestSentAt())));
        return voted.mayVote() || !hasMajorityOfOthers(voted) ? voted : voted.withVotingAllowed();
    }

    /** A restarted process has lost its votes; it may vote again after a majority that excludes it has answered. */
    private static boolean hasMajorityOfOthers(ViewState state) {
        long others = state.topology().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .map(state.peers()::get)
                .filter(peer -> peer != null && peer.votedAt().isPresent())
                .count();
        return others >= state.topology().voterMajority();
    }

    private static ViewState recordContact(ViewState state, VmName vm, boolean leaving, Instant now) {
        if (!state.topology().contains(vm) || vm.equals(state.self())) {
            return state;
        }
        PeerState known = state.peers().getOrDefault(vm, PeerState.initial(now));
        return state.withPeers(with(state.peers(), vm, known.withContact(now, leaving)));
    }

    private static ViewState adoptRoster(ViewState state, Roster roster, Instant now) {
        if (roster.revision() <= state.roster().revision()) {
            return state;
        }
        Set<VmName> exchanging = new HashSet<>(state.peers().keySet());
        ViewTopology.of(roster).peersOf(state.self(), Set.of()).forEach(vm -> exchanging.add(vm.name()));
        Map<VmName, PeerState> peers = new HashMap<>();
        for (Vm vm : roster.vms()) {
            if (exchanging.contains(vm.name())) {
                peers.put(vm.name(), carryOverPeer(state, vm, now));
            }
        }
        return state.withRoster(roster, peers);
    }

    /**
     * Keeps the state of a peer unless its process has restarted: votes and last contact of a predecessor don't count.
     */
    private static PeerState carryOverPeer(ViewState state, Vm vm, Instant now) {
        Optional<Vm> before = state.roster().find(vm.name());
        boolean sameProcess =
                before.map(known -> known.incarnation() == vm.incarnation()).orElse(false);
        PeerState known = state.peers().get(vm.name());
        return sameProcess && known != null ? known : PeerState.initial(now);
    }

    private static List<ViewEffect> effects(ViewState state, Instant now) {
        List<ViewEffect> effects = new ArrayList<>();
        Set<VmName> unavailable = state.unavailable(now);
        Set<VmName> watchers = state.topology().watchers(unavailable);
        boolean watcher = watchers.contains(state.self())
                || state.roster().find(state.self()).isEmpty();
        if (watcher) {
            effects.add(new ViewEffect.WatchStore());
        }
        state.topology()
                .peersOf(state.self(), unavailable)
                .forEach(peer -> effects.add(new ViewEffect.ExchangeWithPeer(peer)));
        if (isFirstLiveWatcher(state, watchers, unavailable) && state.isCurrent(now)) {
            removableVms(state, now).forEach(vm -> effects.add(new ViewEffect.RemoveVm(vm.name(), vm.incarnation())));
        }
        return effects;
    }

    private static boolean isFirstLiveWatcher(ViewState state, Set<VmName> watchers, Set<VmName> unavailable) {
        return watchers.stream()
                .filter(vm -> !unavailable.contains(vm))
                .findFirst()
                .map(state.self()::equals)
                .orElse(false);
    }

    private static List<Vm> removableVms(ViewState state, Instant now) {
        return state.roster().vms().stream()
                .filter(vm -> state.timeSinceLastMessage(vm.name(), now).compareTo(ViewState.REMOVAL_TIMEOUT) > 0)
                .sorted(Comparator.comparing(Vm::name))
                .toList();
    }

    private static Map<VmName, PeerState> with(Map<VmName, PeerState> peers, VmName vm, PeerState state) {
        Map<VmName, PeerState> changed = new HashMap<>(peers);
        changed.put(vm, state);
        return changed;
    }
}
