package org.geraniumproxy.control;

/** Exit codes of the tool. */
enum ExitCode {
    /** The command did what it was asked to do. */
    SUCCESS(0),
    /** The file has findings, or the change conflicts with another one. Nothing was changed. */
    REFUSED(1),
    /** The command line is wrong, or a file can't be read. */
    USAGE_ERROR(2),
    /** The platform or a VM could not be reached in time, or the outcome is unknown. */
    UNREACHABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
