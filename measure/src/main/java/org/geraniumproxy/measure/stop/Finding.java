package org.geraniumproxy.measure.stop;

/**
 * Broken promise.
 *
 * @param kind which promise
 * @param text request, node, times relative to SIGTERM and what the databases saw
 */
record Finding(Kind kind, String text) {
    /** Promises that are checked. */
    enum Kind {
        LOST_PASSED_ON,
        LOST_READ,
        LOST_WITHOUT_STOP,
        REFUSED,
        TWICE,
        STOP,
        NODE
    }

    @Override
    public String toString() {
        return kind + " " + text;
    }
}
