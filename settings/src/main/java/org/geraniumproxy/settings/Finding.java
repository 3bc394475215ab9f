package org.geraniumproxy.settings;

/**
 * An error in a file with its position.
 *
 * @param position position of the error
 * @param problem the error and the expected value
 */
public record Finding(SourcePosition position, Problem problem) {
    /**
     * Formats the finding for operators.
     *
     * @return file, line, column, the error and the expected value
     */
    public String message() {
        return FindingMessages.of(this);
    }
}
