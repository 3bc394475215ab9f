package org.geraniumproxy.core.identity;

import java.util.regex.Pattern;

/** Syntax of the names in configuration and settings files. */
public final class Names {
    private static final Pattern VALID_NAME = Pattern.compile("[\\p{L}\\p{N}._-]{1,64}");

    /** Number of characters of an invalid name in the message of an error. */
    private static final int MAXIMUM_QUOTED_LENGTH = 100;

    private Names() {}

    /**
     * Tells whether a text is a valid name. Letters and digits of all scripts are allowed.
     *
     * @param value the text, may be null
     * @return true if it has one to 64 letters, digits, dots, dashes or underscores
     */
    public static boolean isValid(String value) {
        return value != null && VALID_NAME.matcher(value).matches();
    }

    static void requireValid(String kind, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(kind
                    + " must have 1 to 64 letters, digits, dots, dashes or underscores, but is: " + abbreviate(value));
        }
    }

    private static String abbreviate(String value) {
        return value == null || value.length() <= MAXIMUM_QUOTED_LENGTH
                ? value
                : value.substring(0, MAXIMUM_QUOTED_LENGTH) + "... (" + value.length() + " characters)";
    }
}
