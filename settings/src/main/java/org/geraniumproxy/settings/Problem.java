package org.geraniumproxy.settings;

import java.util.List;

/**
 * An error in a file. {@link FindingMessages} formats it as text, and the simple names of the types are printed in
 * JSON.
 */
public sealed interface Problem {
    /**
     * The file is not valid TOML.
     *
     * @param detail message of the TOML parser
     */
    record Syntax(String detail) implements Problem {}

    /**
     * A key that the table does not define.
     *
     * @param name the unknown key
     * @param allowedNames keys that the table may have
     */
    record UnknownName(String name, List<String> allowedNames) implements Problem {
        /** Copies the list. */
        public UnknownName {
            allowedNames = List.copyOf(allowedNames);
        }
    }

    /**
     * A required key is missing.
     *
     * @param name the missing key
     * @param expected description of the valid values
     */
    record MissingName(String name, String expected) implements Problem {}

    /**
     * A value has the wrong type.
     *
     * @param name key of the value
     * @param actual type that was found
     * @param expected description of the valid values
     */
    record WrongType(String name, String actual, String expected) implements Problem {}

    /**
     * A duration has no unit or an unknown one.
     *
     * @param name key of the value
     * @param actual value that was found
     * @param expected description of the valid values
     */
    record WrongUnit(String name, String actual, String expected) implements Problem {}

    /**
     * A value has the right type but is not valid.
     *
     * @param name key of the value
     * @param actual value that was found, or a description of it
     * @param expected description of the valid values
     */
    record WrongValue(String name, String actual, String expected) implements Problem {}

    /**
     * A value that must be unique occurs again.
     *
     * @param kind kind of the value, for example {@code key digest}
     * @param value the repeated value
     * @param firstUse line and column of the first occurrence
     */
    record Duplicate(String kind, String value, String firstUse) implements Problem {}

    /**
     * A reference to a name that is not defined.
     *
     * @param kind kind of the target, for example {@code group}
     * @param name the undefined name
     * @param knownNames defined names of that kind
     */
    record UnknownReference(String kind, String name, List<String> knownNames) implements Problem {
        /** Copies the list. */
        public UnknownReference {
            knownNames = List.copyOf(knownNames);
        }
    }

    /**
     * Tells whether the problem may only result from a syntax error elsewhere in the file.
     *
     * @return true if the problem is reliable only if the whole file was parsed
     */
    default boolean requiresCompleteParse() {
        return switch (this) {
            case MissingName ignored -> true;
            case UnknownReference ignored -> true;
            case Syntax ignored -> false;
            case UnknownName ignored -> false;
            case WrongType ignored -> false;
            case WrongUnit ignored -> false;
            case WrongValue ignored -> false;
            case Duplicate ignored -> false;
        };
    }
}
