package org.geraniumproxy.settings;

/**
 * A position in a file.
 *
 * @param file file name as it was passed to the reader
 * @param line line number, starting at 1
 * @param column column number, starting at 1
 */
public record SourcePosition(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
