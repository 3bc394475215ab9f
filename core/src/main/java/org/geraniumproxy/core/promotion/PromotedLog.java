package org.geraniumproxy.core.promotion;

import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * The log with which a promotion was requested. It tells afterwards whether the promotion may have lost a commit.
 *
 * @param attempt attempt that requested the promotion
 * @param candidate database to promote and the end of its log
 * @param term term with which the replicas were stopped
 * @param lossReported whether a commit that the log lacks was reported
 */
record PromotedLog(AttemptId attempt, PromotionCandidate candidate, long term, boolean lossReported) {
    /**
     * Returns an acknowledged position that the log lacks although the promotion has taken effect. VMs know of a commit
     * by the successor of the position that they knew when they sent it. For the first commits of the new primary this
     * may lie in the unacknowledged end of the old primary's log, so the loss is not certain.
     *
     * @param snapshot state of the group
     * @return the position, or empty if no loss is known
     */
    Optional<LogPosition> lostPosition(GroupSnapshot snapshot) {
        boolean leads = snapshot.primary().equals(Optional.of(candidate.database())) && snapshot.newestTerm() >= term;
        return snapshot.acknowledged()
                .filter(_ -> leads && !lossReported)
                .filter(position -> position.term().number() < term)
                .filter(position -> position.compareTo(candidate.received().next()) > 0);
    }

    PromotedLog reported() {
        return new PromotedLog(attempt, candidate, term, true);
    }
}
