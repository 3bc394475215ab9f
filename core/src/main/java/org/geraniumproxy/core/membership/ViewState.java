package org.geraniumproxy.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.VmName;

/**
 * A VM's view of configuration and roster, with the proofs of how recent it is.
 *
 * <p>A proof shows that a revision was current at some time. Views only move to higher revisions, so a proof stays
 * valid when the view advances.
 *
 * @param self name of this VM
 * @param configuration newest known configuration
 * @param roster newest known roster
 * @param topology voters, watchers and exchange partners derived from the roster
 * @param proofs times at which the view was proven current
 * @param peers state of each peer with which this VM exchanges views
 * @param mayVote whether this VM's answers count as votes: since its process started, it has read the store or has
 *     received its view from a majority of voters other than itself
 * @param draining whether the process is being stopped
 */
public record ViewState(
        VmName self,
        KnownConfiguration configuration,
        Roster roster,
        ViewTopology topology,
        ViewProofs proofs,
        Map<VmName, PeerState> peers,
        boolean mayVote,
        boolean draining) {
    /** Time without a message after which a peer counts as down for routing. */
    public static final Duration DOWN_TIMEOUT = Duration.ofSeconds(2);

    /** Time without a message after which a peer is removed from the roster. */
    public static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(5);

    /** Copies the peers. */
    public ViewState {
        peers = Map.copyOf(peers);
    }

    /**
     * Returns the state of a process that has just started.
     *
     * @param self name of this VM
     * @return state without a roster and without proofs
     */
    public static ViewState initial(VmName self) {
        return new ViewState(
                self,
                KnownConfiguration.NONE,
                Roster.EMPTY,
                ViewTopology.of(Roster.EMPTY),
                ViewProofs.NONE,
                Map.of(),
                false,
                false);
    }

    /**
     * Returns the latest time at which this view is proven to have been current, by the store, a peer or a majority of
     * the voters.
     *
     * @param now current time
     * @return time of the proof, or empty if there is none yet
     */
    public Optional<Instant> provenAt(Instant now) {
        return Stream.of(proofs.store(), proofs.peer(), majorityProvenAt(now))
                .flatMap(Optional::stream)
                .max(Comparator.naturalOrder());
    }

    /**
     * Returns whether the view is proven to be recent enough to serve requests.
     *
     * @param now current time
     * @return true if its age is within {@link ControlSnapshot#MAXIMUM_VIEW_AGE}
     */
    public boolean isCurrent(Instant now) {
        return provenAt(now)
                .map(provenAt -> Duration.between(provenAt, now).compareTo(ControlSnapshot.MAXIMUM_VIEW_AGE) <= 0)
                .orElse(false);
    }

    /**
     * Returns the peers that are down or shutting down.
     *
     * @param now current time
     * @return VM names
     */
    public Set<VmName> unavailable(Instant now) {
        Set<VmName> unavailable = new HashSet<>();
        peers.forEach((name, peer) -> {
            if (peer.leaving() || timeSinceLastMessage(name, now).compareTo(DOWN_TIMEOUT) > 0) {
                unavailable.add(name);
            }
        });
        return unavailable;
    }

    /** Returns the time since the last message of a peer, zero for VMs that don't exchange views with this one. */
    Duration timeSinceLastMessage(VmName peer, Instant now) {
        PeerState state = peers.get(peer);
        return state == null ? Duration.ZERO : Duration.between(state.lastHeardAt(), now);
    }

    private Optional<Instant> majorityProvenAt(Instant now) {
        List<VmName> voters = topology.voters();
        int majority = topology.voterMajority();
        List<Instant> votes = voters.stream()
                .map(voter -> voteOf(voter, now))
                .flatMap(Optional::stream)
                .sorted(Comparator.reverseOrder())
                .toList();
        boolean proven = !voters.isEmpty() && votes.size() >= majority;
        return proven ? Optional.of(votes.get(majority - 1)) : Optional.empty();
    }

    private Optional<Instant> voteOf(VmName voter, Instant now) {
        if (voter.equals(self)) {
            return mayVote ? Optional.of(now) : Optional.empty();
        }
        return Optional.ofNullable(peers.get(voter)).flatMap(PeerState::votedAt);
    }

    ViewState withConfiguration(KnownConfiguration next) {
        if (next.number() == configuration.number()) {
            InvariantViolation.check(
                    next.revision().equals(configuration.revision()),
                    "all VMs know the same configuration under one revision");
        }
        return next.number() <= configuration.number()
                ? this
                : new ViewState(self, next, roster, topology, proofs, peers, mayVote, draining);
    }

    ViewState withRoster(Roster next, Map<VmName, PeerState> nextPeers) {
        ViewTopology nextTopology = ViewTopology.of(next);
        return new ViewState(self, configuration, next, nextTopology, proofs, nextPeers, mayVote, draining);
    }

    ViewState withPeers(Map<VmName, PeerState> nextPeers) {
        return new ViewState(self, configuration, roster, topology, proofs, nextPeers, mayVote, draining);
    }

    ViewState withProofs(ViewProofs next) {
        boolean votes = mayVote || next.store().isPresent();
        return new ViewState(self, configuration, roster, topology, next, peers, votes, draining);
    }

    ViewState withVotingAllowed() {
        return new ViewState(self, configuration, roster, topology, proofs, peers, true, draining);
    }

    ViewState withDraining() {
        return new ViewState(self, configuration, roster, topology, proofs, peers, mayVote, true);
    }
}
