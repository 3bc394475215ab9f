package org.geraniumproxy.settings;

/**
 * A fault of a file at its place.
 *
 * @param position where the fault is
 * @param problem what is wrong and what would be correct
 */
public record Finding(SourcePosition position, Problem problem) {
    /**
     * Returns the message for operators.
     *
     * @return file, line, column, what is wrong and what would be correct
     */
    public String message() {
        return FindingMessages.of(this);
    }
}
