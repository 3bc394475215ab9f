package org.geraniumproxy.proxy.encoding;

import org.geraniumproxy.core.identity.LogPosition;

/** Translates log positions. */
public final class PositionMessages {
    private PositionMessages() {}

    /**
     * Writes a log position.
     *
     * @param position the position
     * @return the message
     */
    public static org.geraniumproxy.protocol.LogPosition encode(LogPosition position) {
        return org.geraniumproxy.protocol.LogPosition.newBuilder()
                .setTerm(position.term().number())
                .setPosition(position.position())
                .build();
    }

    /**
     * Reads a log position.
     *
     * @param message the message
     * @return the position
     * @throws IllegalArgumentException if a number is negative
     */
    public static LogPosition decode(org.geraniumproxy.protocol.LogPosition message) {
        return LogPosition.of(message.getTerm(), message.getPosition());
    }
}
