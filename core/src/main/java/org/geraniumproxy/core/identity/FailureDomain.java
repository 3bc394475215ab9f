package org.geraniumproxy.core.identity;

/**
 * Name of a failure domain, the zone whose machines can fail together.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public FailureDomain {
        Names.requireValid("failure domain name", value);
    }

    /**
     * Creates a name.
     *
     * @param value one to 64 letters, digits, dots, dashes or underscores
     * @return the name
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
