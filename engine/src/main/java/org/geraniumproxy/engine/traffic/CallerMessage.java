package org.geraniumproxy.engine.traffic;

import org.geraniumproxy.core.statement.Statement;

/** Message received from a caller. */
public sealed interface CallerMessage {
    /**
     * Request to open a session.
     *
     * @param database name of the database
     * @param key API key of the caller, which is neither stored nor printed
     */
    record Connect(String database, String key) implements CallerMessage {
        @Override
        public String toString() {
            return "Connect[database=" + database + "]";
        }
    }

    /**
     * Statement to execute.
     *
     * @param request request identifier chosen by the caller
     * @param statement parsed statement, which may be malformed
     */
    record Query(String request, Statement statement) implements CallerMessage {}

    /** Request to close the session. */
    record Quit() implements CallerMessage {}

    /**
     * Input that is not a valid message.
     *
     * @param reason description of the error
     * @param fatal true if the start of the next message cannot be found
     */
    record Invalid(String reason, boolean fatal) implements CallerMessage {}

    /** Heap of a message without its text. */
    int OBJECT_BYTES = 128;

    /** Heap of a character of a text, at most. */
    int CHARACTER_BYTES = 2;

    /**
     * Returns the heap that the message takes, at most.
     *
     * @return number of bytes
     */
    default int heapBytes() {
        int length = switch (this) {
            case Connect connect -> connect.database().length() + connect.key().length();
            case Query query -> query.request().length() + query.statement().textLength();
            case Quit _ -> 0;
            case Invalid invalid -> invalid.reason().length();
        };
        return OBJECT_BYTES + CHARACTER_BYTES * length;
    }
}
