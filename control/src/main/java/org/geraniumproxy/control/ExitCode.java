package org.geraniumproxy.control;

/** Exit codes of {@code geraniumctl}. */
enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The file has findings, or the change conflicts with another one. Nothing was changed. */
    REFUSED(1),
    /** The command line is invalid, or a file can't be read. */
    USAGE_ERROR(2),
    /** The store or a VM could not be reached in time, or the outcome is unknown. */
    UNREACHABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
