package org.geraniumproxy.core.identity;

/**
 * Name of a VM of the system.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record VmName(String value) implements Comparable<VmName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public VmName {
        Names.requireValid("VM name", value);
    }

    /**
     * Returns the name with the given value.
     *
     * @param value the text of the name
     * @return the name
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public static VmName of(String value) {
        return new VmName(value);
    }

    @Override
    public int compareTo(VmName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
