package org.geraniumproxy.core.identity;

/**
 * Name of a route, unique in the configuration.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record RouteName(String value) implements Comparable<RouteName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public RouteName {
        Names.requireValid("route name", value);
    }

    /**
     * Creates a name.
     *
     * @param value one to 64 letters, digits, dots, dashes or underscores
     * @return the name
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public static RouteName of(String value) {
        return new RouteName(value);
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
