package org.geraniumproxy.core.identity;

/**
 * Name of a route.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record RouteName(String value) implements Comparable<RouteName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public RouteName {
        Names.requireValid("route name", value);
    }

    /**
     * Returns the name with the given value.
     *
     * @param value the text of the name
     * @return the name
     * @throws IllegalArgumentException if the value is not a valid name
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
