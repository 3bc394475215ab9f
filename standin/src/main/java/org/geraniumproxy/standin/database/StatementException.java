package org.geraniumproxy.standin.database;

/** Thrown for a statement that is malformed or not allowed. The statement has no effect. */
final class StatementException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    StatementException(String reason) {
        super(reason);
    }
}
