package org.geraniumproxy.proxy.traffic;

import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Asserts for one request that it is handed to a backend server at most once, unless it may be repeated. It belongs to
 * the thread that serves the request.
 */
final class SendGuard {
    private final boolean repeatable;
    private int sent;

    SendGuard(boolean repeatable) {
        this.repeatable = repeatable;
    }

    /**
     * Notes that the request is about to be handed to a backend server.
     *
     * @throws InvariantViolation if it may not be repeated and may already have been handed to one
     */
    void beforeSend() {
        InvariantViolation.check(
                repeatable || sent == 0, "a request that may not be repeated was about to be sent a second time");
        sent++;
    }

    /** Notes that nothing was handed over after all. */
    void notSent() {
        InvariantViolation.check(sent > 0, "a request that was never sent was taken back");
        sent--;
    }

    boolean maySend() {
        return repeatable || sent == 0;
    }

    boolean mayHaveBeenSent() {
        return sent > 0;
    }
}
