package org.geraniumproxy.core.identity;

/**
 * Name of a backend server, which is one database of a group.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record BackendServerName(String value) implements Comparable<BackendServerName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public BackendServerName {
        Names.requireValid("backend server name", value);
    }

    /**
     * Returns the name with the given value.
     *
     * @param value the text of the name
     * @return the name
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static BackendServerName of(String value) {
        return new BackendServerName(value);
    }

    @Override
    public int compareTo(BackendServerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
