package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.core.identity.VmName;

/**
 * The positions among a customer's holders that limit this VM's share. After a change of holders the old positions stay
 * in play, so that the smaller share counts, until every VM that has not learned of the change must have stopped.
 *
 * <p>An old position is dropped only when the newest holders were proven current at a moment later than the view bound
 * after they were learned. A VM that had not learned of them by then has stopped, also one that skips them and learns
 * of a later change first. A VM whose view lapsed starts from nothing, because it may have missed a change.
 *
 * @param activePositions positions that limit the share, the newest one last; empty while the view is too old
 * @param holders newest known holders
 * @param learnedAt moment at which they were learned
 * @param provenAt newest proof of the view
 */
public record ShareSchedule(
        List<HolderPosition> activePositions, List<VmName> holders, Instant learnedAt, Optional<Instant> provenAt) {
    /** Nothing is known yet. */
    public static final ShareSchedule UNKNOWN =
            new ShareSchedule(List.of(), List.of(), Instant.EPOCH, Optional.empty());

    /** Copies the lists. */
    public ShareSchedule {
        activePositions = List.copyOf(activePositions);
        holders = List.copyOf(holders);
    }

    /**
     * Takes a look at the view.
     *
     * @param self this VM
     * @param newestHolders the holders, in order
     * @param newestProof start of the newest exchange that proved the view current
     * @param now the present moment
     * @param timing durations that the safety depends on
     * @return the schedule after the look
     */
    public ShareSchedule observe(
            VmName self, List<VmName> newestHolders, Optional<Instant> newestProof, Instant now, LimitTiming timing) {
        if (!isCurrent(newestProof, now, timing)) {
            return new ShareSchedule(List.of(), List.of(), now, provenAt);
        }
        HolderPosition position = HolderPosition.of(self, newestHolders);
        if (activePositions.isEmpty() || hasLapsed(newestProof.orElseThrow(), timing)) {
            List<HolderPosition> positions = List.of(HolderPosition.NONE, position);
            return new ShareSchedule(positions, newestHolders, now, newestProof).dropSupersededPositions(now, timing);
        }
        if (!holders.equals(newestHolders)) {
            return new ShareSchedule(withNewest(position), newestHolders, now, newestProof)
                    .dropSupersededPositions(now, timing);
        }
        return new ShareSchedule(activePositions, holders, learnedAt, newestProof).dropSupersededPositions(now, timing);
    }

    RateShare share(LimitView view) {
        return activePositions.stream()
                .map(position -> RateShare.of(view.ratePerSecond(), view.burst(), position))
                .reduce(RateShare::minimum)
                .orElse(RateShare.NONE);
    }

    /**
     * Tells whether the view was proven current at the last look.
     *
     * @return true if any share may be used
     */
    public boolean isCurrent() {
        return !activePositions.isEmpty();
    }

    private static boolean isCurrent(Optional<Instant> proof, Instant now, LimitTiming timing) {
        return proof.map(moment -> Duration.between(moment, now).compareTo(timing.maximumViewAge()) <= 0)
                .orElse(false);
    }

    /** The newest position is the last one in play, also if it was in play before. */
    private List<HolderPosition> withNewest(HolderPosition position) {
        Stream<HolderPosition> older = activePositions.stream().filter(other -> !other.equals(position));
        return Stream.concat(older, Stream.of(position)).toList();
    }

    private boolean hasLapsed(Instant newProof, LimitTiming timing) {
        return provenAt.map(previous -> Duration.between(previous, newProof).compareTo(timing.maximumViewAge()) > 0)
                .orElse(true);
    }

    private ShareSchedule dropSupersededPositions(Instant now, LimitTiming timing) {
        boolean waited = !now.isBefore(learnedAt.plus(timing.increaseDelay()));
        boolean proven = provenAt.map(proof -> proof.isAfter(learnedAt.plus(timing.proofDelay()))
                        || timing.increaseDelay().isZero())
                .orElse(false);
        if (!waited || !proven || activePositions.size() == 1) {
            return this;
        }
        return new ShareSchedule(List.of(activePositions.getLast()), holders, learnedAt, provenAt);
    }
}
