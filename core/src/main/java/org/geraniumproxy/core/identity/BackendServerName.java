package org.geraniumproxy.core.identity;

/**
 * Name of a backend server, unique in the configuration.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record BackendServerName(String value) implements Comparable<BackendServerName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public BackendServerName {
        Names.requireValid("backend server name", value);
    }

    /**
     * Creates a name.
     *
     * @param value one to 64 letters, digits, dots, dashes or underscores
     * @return the name
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
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
