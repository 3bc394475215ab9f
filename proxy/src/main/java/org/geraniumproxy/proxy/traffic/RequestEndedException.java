package org.geraniumproxy.proxy.traffic;

/** A request was about to be sent after its outcome had been decided at the end of the drain. */
final class RequestEndedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RequestEndedException() {
        super("the drain ended before the request was sent");
    }
}
