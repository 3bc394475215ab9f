package org.geraniumproxy.engine.traffic;

import java.util.Locale;

/** Reason for which a VM closes the connection of a caller, or refuses it, to protect itself. */
enum CloseReason {
    /** Connections together hold more than the budget, and this one is among the largest and slowest. */
    MEMORY("connections hold too much memory"),
    /** The connection holds more than one connection may. */
    CONNECTION_MEMORY("the connection holds too much memory"),
    /** No byte has arrived for too long after a message has begun. */
    MESSAGE_STALLED("a message has begun and stalls"),
    /** The caller has accepted no byte of its replies for too long. */
    REPLIES_UNREAD("replies are not read"),
    /** Nothing has arrived since the connection was accepted. */
    NOTHING_RECEIVED("nothing was received after the connection was accepted"),
    /** The VM has as many connections as its descriptors allow. */
    CONNECTION_LIMIT("too many connections"),
    /** Too many messages were sent ahead. */
    MESSAGES_SENT_AHEAD("too many pipelined messages");

    private final String text;

    CloseReason(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }

    /** Returns the label of the reason in metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
