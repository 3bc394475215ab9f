package org.geraniumproxy.core.identity;

/**
 * Name of a customer.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record CustomerName(String value) implements Comparable<CustomerName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public CustomerName {
        Names.requireValid("customer name", value);
    }

    /**
     * Returns the name with the given value.
     *
     * @param value the text of the name
     * @return the name
     * @throws IllegalArgumentException if the value is not a valid name
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
