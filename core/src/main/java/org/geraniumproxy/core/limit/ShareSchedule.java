package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.core.identity.VmName;

/**
 * Positions among a customer's holders that limit this VM's share. After a change of holders the old positions remain
 * active, and the smallest share applies, until every VM that has not learned of the change must have stopped using its
 * share.
 *
 * <p>An old position is dropped only once the latest holders have been confirmed as current later than the maximum view
 * age after they were learned. A VM that has not learned of them by then has stopped, including one that misses them
 * and learns of a later change first. A VM whose view expired starts without a share, because it may have missed a
 * change.
 *
 * @param activePositions positions that limit the share, the latest one last; empty while the view is too old
 * @param holders latest known holders
 * @param learnedAt time at which these holders were learned
 * @param provenAt start of the latest exchange that confirmed the view, empty if there was none
 */
public record ShareSchedule(
        List<HolderPosition> activePositions, List<VmName> holders, Instant learnedAt, Optional<Instant> provenAt) {
    /** Schedule before the first observation. */
    public static final ShareSchedule UNKNOWN =
            new ShareSchedule(List.of(), List.of(), Instant.EPOCH, Optional.empty());

    /** Makes the lists immutable. */
    public ShareSchedule {
        activePositions = List.copyOf(activePositions);
        holders = List.copyOf(holders);
    }

    /**
     * Updates the schedule with the current view.
     *
     * @param self this VM
     * @param newestHolders the current holders, in the same order on every VM
     * @param newestProof start of the latest exchange that confirmed the view as current
     * @param now the current time
     * @param timing durations on which the safety of the limit depends
     * @return the updated schedule
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
     * Tells whether the view was recent enough at the last observation.
     *
     * @return true if this VM may use its share
     */
    public boolean isCurrent() {
        return !activePositions.isEmpty();
    }

    private static boolean isCurrent(Optional<Instant> proof, Instant now, LimitTiming timing) {
        return proof.map(provenTime -> Duration.between(provenTime, now).compareTo(timing.maximumViewAge()) <= 0)
                .orElse(false);
    }

    /** Appends a position, or moves it to the end if it is already active. */
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
