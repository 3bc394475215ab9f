package org.geraniumproxy.core.identity;

/**
 * Name of a database group, unique in the configuration.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record GroupName(String value) implements Comparable<GroupName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public GroupName {
        Names.requireValid("group name", value);
    }

    /**
     * Creates a name.
     *
     * @param value one to 64 letters, digits, dots, dashes or underscores
     * @return the name
     * @throws IllegalArgumentException if {@link Names#isValid} rejects the value
     */
    public static GroupName of(String value) {
        return new GroupName(value);
    }

    @Override
    public int compareTo(GroupName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
