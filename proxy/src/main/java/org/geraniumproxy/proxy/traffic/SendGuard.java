package org.geraniumproxy.proxy.traffic;

import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Asserts for one request that it is handed to a backend server at most once, unless it may be repeated, and not after
 * it was ended. One thread serves the request; another one may end it.
 */
final class SendGuard {
    private final boolean repeatable;
    private int sent;
    private boolean ended;

    SendGuard(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Notes that the request is about to be handed to a backend server.
     *
     * @throws InvariantViolation if it may not be repeated and may already have been handed to one
     * @throws RequestEndedException if it was ended
     */
    synchronized void beforeSend() {
        if (ended) {
            throw new RequestEndedException();
        }
        InvariantViolation.check(
                repeatable || sent == 0, "a request that may not be repeated was about to be sent a second time");
        sent++;
    }

    /** Notes that nothing was handed over after all. */
    synchronized void notSent() {
        InvariantViolation.check(sent > 0, "a request that was never sent was taken back");
        sent--;
    }

    synchronized boolean maySend() {
        return repeatable || sent == 0;
    }

    synchronized boolean mayHaveBeenSent() {
        return sent > 0;
    }

    /**
     * Prevents that the request is sent from now on.
     *
     * @return true if it may have been sent before
     */
    synchronized boolean end() {
        ended = true;
        return sent > 0;
    }
}
