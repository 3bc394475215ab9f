package org.geraniumproxy.control;

/** Thrown if the command line is invalid or a file that it names can't be used. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }

    UsageException(String message, Throwable cause) {
        super(message, cause);
    }
}
