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
 * A VM's view of configuration and roster, and the proofs of its age.
 *
 * <p>A proof says that a revision was current at some moment. Views only move to higher revisions, so a proof stays
 * valid when the view moves on.
 *
 * @param self the VM
 * @param configuration the newest known configuration
 * @param roster the newest known roster
 * @param topology what follows from the roster
 * @param proofs moments at which the view was proven current
 * @param peers what is known about each peer
 * @param mayVote whether this VM's answers count as votes: it has read the store, or taken its view from a majority of
 *     voters other than itself, since its process started
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
    /** Silence after which a peer is treated as down for routing. */
    public static final Duration DOWN_TIMEOUT = Duration.ofSeconds(2);

    /** Silence after which a peer is removed from the roster. */
    public static final Duration REMOVAL_TIMEOUT = Duration.ofSeconds(5);

    /** Copies the peers. */
    public ViewState {
        peers = Map.copyOf(peers);
    }

    /**
     * Returns the state of a process that has just started.
     *
     * @param self the VM
     * @return the state
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
     * Returns the newest moment at which this view is proven to have been current, through the store, a peer, or a
     * majority of the voters.
     *
     * @param now the present moment
     * @return the moment, or empty if there is no proof yet
     */
    public Optional<Instant> provenAt(Instant now) {
        return Stream.of(proofs.store(), proofs.peer(), majorityProvenAt(now))
                .flatMap(Optional::stream)
                .max(Comparator.naturalOrder());
    }

    /**
     * Tells whether the view is proven to be young enough to serve.
     *
     * @param now the present moment
     * @return true if its age is within {@link ControlSnapshot#MAXIMUM_VIEW_AGE}
     */
    public boolean isCurrent(Instant now) {
        return provenAt(now)
                .map(provenAt -> Duration.between(provenAt, now).compareTo(ControlSnapshot.MAXIMUM_VIEW_AGE) <= 0)
                .orElse(false);
    }

    /**
     * Returns the VMs of the roster that are down or leaving, without this one.
     *
     * @param now the present moment
     * @return their names
     */
    public Set<VmName> unavailable(Instant now) {
        Set<VmName> unavailable = new HashSet<>();
        peers.forEach((name, peer) -> {
            if (peer.leaving() || silence(name, now).compareTo(DOWN_TIMEOUT) > 0) {
                unavailable.add(name);
            }
        });
        return unavailable;
    }

    /** Silence of a VM that exchanges views with this one; zero for all others, of which nothing is known. */
    Duration silence(VmName peer, Instant now) {
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
