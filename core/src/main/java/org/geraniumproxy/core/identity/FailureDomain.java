package org.geraniumproxy.core.identity;

/**
 * Name of a failure domain.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public FailureDomain {
        Names.requireValid("failure domain name", value);
    }

    /**
     * Returns the name with the given value.
     *
     * @param value the text of the name
     * @return the name
     * @throws IllegalArgumentException if the value is not a valid name
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
