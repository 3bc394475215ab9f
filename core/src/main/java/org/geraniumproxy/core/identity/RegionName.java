package org.geraniumproxy.core.identity;

/**
 * Name of a region. Several failure domains can belong to one region.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record RegionName(String value) implements Comparable<RegionName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public RegionName {
        Names.requireValid("region name", value);
    }

    /**
     * Creates a name.
     *
     * @param value one to 64 letters, digits, dots, dashes or underscores
     * @return the name
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
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
