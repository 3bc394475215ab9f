package org.geraniumproxy.standin.database;

/** A statement that can't run. It has had no effect. */
final class StatementException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StatementException(String reason) {
        super(reason);
    }
}
