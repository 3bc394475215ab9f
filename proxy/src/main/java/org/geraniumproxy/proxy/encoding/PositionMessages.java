package org.geraniumproxy.proxy.encoding;

import org.geraniumproxy.core.identity.LogPosition;

/** Encodes and decodes log positions. */
public final class PositionMessages {
    private PositionMessages() {}

    /**
     * Encodes a log position.
     *
     * @param position term and position in the log
     * @return the position as a message
     */
    public static org.geraniumproxy.protocol.LogPosition encode(LogPosition position) {
        return org.geraniumproxy.protocol.LogPosition.newBuilder()
                .setTerm(position.term().number())
                .setPosition(position.position())
                .build();
    }

    /**
     * Decodes a log position.
     *
     * @param message the received message
     * @return term and position in the log
     * @throws IllegalArgumentException if the term or the position is negative
     */
    public static LogPosition decode(org.geraniumproxy.protocol.LogPosition message) {
        return LogPosition.of(message.getTerm(), message.getPosition());
    }
}
