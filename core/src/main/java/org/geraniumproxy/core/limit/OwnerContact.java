package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What a borrowing VM knows of the owner of a rate.
 *
 * @param pending request that is not answered yet
 * @param timeouts number of requests in a row that were not answered
 * @param silent whether the owner doesn't answer or doesn't lend
 * @param nextProbeAt time from which a silent owner is asked again
 * @param emptyUntil time until which the owner has no further token
 * @param lastRequestId identifier of the last request
 */
record OwnerContact(
        Optional<PendingRequest> pending,
        int timeouts,
        boolean silent,
        Instant nextProbeAt,
        Instant emptyUntil,
        long lastRequestId) {
    /** Time after which a request is sent again; longer than a round trip between regions. */
    static final Duration RESEND_DELAY = Duration.ofMillis(40);

    /** Time after which a request is given up. A refusal must not come later than a quarter of 400 ms. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(85);

    /** Timeouts in a row after which the owner counts as silent. One may be due to a full link or a busy owner. */
    static final int TOLERATED_TIMEOUTS = 2;

    /** Interval between requests to a silent owner. */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    /** Request that is not answered yet, for the first of the waiting operations and for some that are expected. */
    record PendingRequest(CustomerRateEffect.Ask ask, Instant sentAt, boolean resent) {
        boolean isOverdue(Instant now) {
            return !now.isBefore(sentAt.plus(ANSWER_TIMEOUT));
        }

        boolean mustBeResent(Instant now) {
            return !resent && !now.isBefore(sentAt.plus(RESEND_DELAY));
        }

        Instant nextWakeAt() {
            return sentAt.plus(resent ? ANSWER_TIMEOUT : RESEND_DELAY);
        }
    }

    static OwnerContact initial(long firstRequestId, Instant now) {
        return new OwnerContact(Optional.empty(), 0, false, now, now, firstRequestId);
    }

    boolean awaits(long requestId) {
        return pending.isPresent() && pending.get().ask().requestId() == requestId;
    }

    OwnerContact withRequest(CustomerRateEffect.Ask ask, Instant now) {
        PendingRequest request = new PendingRequest(ask, now, false);
        return new OwnerContact(
                Optional.of(request), timeouts, silent, now.plus(PROBE_INTERVAL), emptyUntil, ask.requestId());
    }

    OwnerContact withResent() {
        Optional<PendingRequest> resent =
                pending.map(request -> new PendingRequest(request.ask(), request.sentAt(), true));
        return new OwnerContact(resent, timeouts, silent, nextProbeAt, emptyUntil, lastRequestId);
    }

    OwnerContact withGrant(Instant nextTokenAt) {
        return new OwnerContact(Optional.empty(), 0, false, nextProbeAt, nextTokenAt, lastRequestId);
    }

    /** Gives the pending request up. The next operation asks again at once unless the owner counts as silent now. */
    OwnerContact withTimeout(Instant now) {
        int counted = timeouts + 1;
        boolean nowSilent = silent || counted >= TOLERATED_TIMEOUTS;
        Instant probeAt = nowSilent ? now.plus(PROBE_INTERVAL) : now;
        return new OwnerContact(Optional.empty(), counted, nowSilent, probeAt, emptyUntil, lastRequestId);
    }

    OwnerContact withSilence(Instant now) {
        return new OwnerContact(Optional.empty(), timeouts, true, now.plus(PROBE_INTERVAL), emptyUntil, lastRequestId);
    }

    OwnerContact withNewOwner(Instant now) {
        return new OwnerContact(Optional.empty(), 0, false, now, now, lastRequestId);
    }

    Duration untilProbe(Instant now) {
        return now.isBefore(nextProbeAt) ? Duration.between(now, nextProbeAt) : Duration.ZERO;
    }
}
