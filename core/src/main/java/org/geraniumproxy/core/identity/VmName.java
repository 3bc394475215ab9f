package org.geraniumproxy.core.identity;

/**
 * Name of a VM, unique in the roster.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record VmName(String value) implements Comparable<VmName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public VmName {
        Names.requireValid("VM name", value);
    }

    /**
     * Creates a name.
     *
     * @param value one to 64 letters, digits, dots, dashes or underscores
     * @return the name
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
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
