package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.directory.PromotionFence;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * A promotion that is recorded in the store before the platform is asked for it. A request without an answer may still
 * take effect, so until it can't the next lease holder promotes no other database, and this one only after it has
 * compared the logs itself.
 *
 * @param target database to promote
 * @param term term with which the replicas were stopped
 * @param progress outcome of the request so far
 * @param lastPosition end of the target's log when it was chosen, or empty if an earlier release recorded the intent
 * @param attempt attempt that chose the database, or empty if an earlier release recorded the intent
 * @param learnedAt time at which this VM learned of this progress; the request is sent shortly before or after it
 */
public record PromotionIntent(
        BackendServerName target,
        long term,
        Progress progress,
        Optional<LogPosition> lastPosition,
        Optional<AttemptId> attempt,
        Instant learnedAt) {
    /**
     * Time from learning an open intent until it can take effect no more. Its request is repeated for some seconds, and
     * the last copy may be carried out late.
     */
    private static final Duration OPEN_TIMEOUT =
            PromotionState.REQUEST_PERIOD.plus(PromotionState.LATE_REQUEST_TIMEOUT);

    /** Outcome of a promotion request. */
    public enum Progress {
        /** The request may be sent from now on and has no answer yet. */
        OPEN,
        /** The platform accepted the request; the promotion takes effect some hundred milliseconds later. */
        TAKEN,
        /** The platform refused the request, and no earlier copy of it can take effect any more. */
        REFUSED
    }

    /**
     * Returns whether this intent was recorded after another one of the same group.
     *
     * @param other intent to compare with
     * @return true if it has a later term, or the same term and further progress
     */
    public boolean isNewerThan(PromotionIntent other) {
        return term == other.term ? progress.compareTo(other.progress) > 0 : term > other.term;
    }

    /**
     * Returns the bound that this promotion sets on the commits of the group.
     *
     * @return the bound, identified by the attempt
     */
    public PromotionFence fence() {
        return new PromotionFence(attempt.map(AttemptId::toString).orElse("term-" + term), target, lastPosition);
    }

    /**
     * Returns whether other VMs may still need to learn of this intent.
     *
     * @param now current time
     * @return false once no copy of its request can take effect
     */
    public boolean isRecent(Instant now) {
        return now.isBefore(openUntil());
    }

    /**
     * Returns the intent as learned at another time.
     *
     * @param time time at which this VM learned of it
     * @return the intent with this time
     */
    public PromotionIntent learnedAt(Instant time) {
        return new PromotionIntent(target, term, progress, lastPosition, attempt, time);
    }

    /** Returns the time until which a request of this open intent may take effect. */
    Instant openUntil() {
        return learnedAt.plus(OPEN_TIMEOUT);
    }

    /**
     * Returns the intent of a promotion that has taken effect.
     *
     * @return the intent as taken
     */
    public PromotionIntent taken() {
        return new PromotionIntent(target, term, Progress.TAKEN, lastPosition, attempt, learnedAt);
    }

    /** Returns the intent of a request of which no copy can take effect any more. */
    PromotionIntent refused() {
        return new PromotionIntent(target, term, Progress.REFUSED, lastPosition, attempt, learnedAt);
    }

    /** Returns whether the promotion may be in progress, so that another attempt would interfere with it. */
    boolean isSettling(Instant now) {
        return progress != Progress.REFUSED && now.isBefore(learnedAt.plus(PromotionState.SETTLING_TIME));
    }

    /**
     * Returns whether the promotion may still take effect. Until then, replicas must not confirm commits of the old
     * primary.
     *
     * @param now current time
     * @return true if a database may still become primary by it
     */
    public boolean mayTakeEffect(Instant now) {
        return switch (progress) {
            case OPEN -> now.isBefore(openUntil());
            case TAKEN -> isSettling(now);
            case REFUSED -> false;
        };
    }

    /**
     * Returns the intent with its age at this VM, for the log.
     *
     * @param now current time
     * @return quoted text
     */
    public String describe(Instant now) {
        return "\"" + target + " term=" + term + " " + progress + " lastPosition="
                + lastPosition.map(PromotionChoice::text).orElse("unknown") + " attempt="
                + attempt.map(AttemptId::toString).orElse("unknown") + " age="
                + Duration.between(learnedAt, now).toMillis() + "ms\"";
    }
}
