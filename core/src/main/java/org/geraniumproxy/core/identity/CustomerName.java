package org.geraniumproxy.core.identity;

/**
 * Name of a customer, unique in the configuration.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record CustomerName(String value) implements Comparable<CustomerName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public CustomerName {
        Names.requireValid("customer name", value);
    }

    /**
     * Creates a name.
     *
     * @param value one to 64 letters, digits, dots, dashes or underscores
     * @return the name
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public static CustomerName of(String value) {
        return new CustomerName(value);
    }

    @Override
    public int compareTo(CustomerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
