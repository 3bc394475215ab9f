package org.geraniumproxy.settings;

/**
 * A place in a file.
 *
 * @param file the file as the reader was told of it
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 */
public record SourcePosition(String file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
