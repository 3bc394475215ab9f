package org.geraniumproxy.core.identity;

/**
 * Name of a database group.
 *
 * @param value one to 64 letters, digits, dots, dashes or underscores
 */
public record GroupName(String value) implements Comparable<GroupName> {
    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the value is not a valid name
     */
    public GroupName {
        Names.requireValid("group name", value);
    }

    /**
     * Returns the name with the given value.
     *
     * @param value the text of the name
     * @return the name
     * @throws IllegalArgumentException if the value is not a valid name
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
