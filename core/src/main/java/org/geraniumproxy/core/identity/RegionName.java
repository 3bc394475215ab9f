package org.geraniumproxy.core.identity;

/**
 * Name of a region.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record RegionName(String value) implements Comparable<RegionName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public RegionName {
        Names.requireValid("region name", value);
    }

    /**
     * Returns the name with the given value.
     *
     * @param value the text of the name
     * @return the name
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static RegionName of(String value) {
        return new RegionName(value);
    }

    @Override
    public int compareTo(RegionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
