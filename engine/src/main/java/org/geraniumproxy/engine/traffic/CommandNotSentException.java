package org.geraniumproxy.engine.traffic;

/** An administrative command was given up before it was sent, so the database never carries it out. */
public final class CommandNotSentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CommandNotSentException(String message) {
        super(message);
    }
}
