package org.geraniumproxy.engine.traffic;

import org.geraniumproxy.core.statement.Statement;

/** A message of a caller. */
public sealed interface CallerMessage {
    /**
     * The caller connects.
     *
     * @param database the database name
     * @param key the caller's key, which is not kept
     */
    record Connect(String database, String key) implements CallerMessage {
        @Override
        public String toString() {
            return "Connect[database=" + database + "]";
        }
    }

    /**
     * The caller sends a statement.
     *
     * @param request the caller's identifier
     * @param statement the statement
     */
    record Query(String request, Statement statement) implements CallerMessage {}

    /** The caller ends the session. */
    record Quit() implements CallerMessage {}

    /**
     * The bytes are no message.
     *
     * @param reason what is wrong
     * @param fatal whether the next message cannot be found
     */
    record Invalid(String reason, boolean fatal) implements CallerMessage {}
}
