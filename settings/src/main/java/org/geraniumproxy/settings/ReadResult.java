package org.geraniumproxy.settings;

import java.util.List;

/**
 * Result of reading a file: either a value or all findings.
 *
 * @param <T> type of the value
 */
public sealed interface ReadResult<T> {
    /**
     * The file is valid.
     *
     * @param value the converted content
     * @param <T> type of the value
     */
    record Accepted<T>(T value) implements ReadResult<T> {}

    /**
     * The file is invalid.
     *
     * @param findings all findings in the order of the file, at least one
     * @param <T> type of the value
     */
    record Rejected<T>(List<Finding> findings) implements ReadResult<T> {
        /**
         * Copies the findings.
         *
         * @throws IllegalArgumentException if the list is empty
         */
        public Rejected {
            findings = List.copyOf(findings);
            if (findings.isEmpty()) {
                throw new IllegalArgumentException("a rejected file needs at least one finding");
            }
        }
    }
}
