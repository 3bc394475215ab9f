package org.geraniumproxy.settings;

import java.util.List;

/** What is wrong at a place of a file, as data. {@link FindingMessages} builds the text. */
public sealed interface Problem {
    /**
     * The file is not valid TOML.
     *
     * @param detail what the parser reports
     */
    record Syntax(String detail) implements Problem {}

    /**
     * A name that the table does not have.
     *
     * @param name the name
     * @param allowedNames the names that the table has
     */
    record UnknownName(String name, List<String> allowedNames) implements Problem {
        /** Copies the list. */
        public UnknownName {
            allowedNames = List.copyOf(allowedNames);
        }
    }

    /**
     * A name that the table needs is absent.
     *
     * @param name the name
     * @param expected what it must hold
     */
    record MissingName(String name, String expected) implements Problem {}

    /**
     * A value has the wrong type.
     *
     * @param name the name of the value
     * @param actual the type that was found
     * @param expected what it must hold
     */
    record WrongType(String name, String actual, String expected) implements Problem {}

    /**
     * A duration has no unit or an unknown one.
     *
     * @param name the name of the value
     * @param actual the value that was found
     * @param expected the units that are allowed
     */
    record WrongUnit(String name, String actual, String expected) implements Problem {}

    /**
     * A value of the right type that can't be used.
     *
     * @param name the name of the value
     * @param actual the value that was found
     * @param expected what it must hold
     */
    record WrongValue(String name, String actual, String expected) implements Problem {}

    /**
     * Something that must be unique occurs a second time.
     *
     * @param kind what must be unique
     * @param value the value that occurs again
     * @param firstUse where it occurs first
     */
    record Duplicate(String kind, String value, String firstUse) implements Problem {}

    /**
     * A reference to a name that does not exist.
     *
     * @param kind what the name should refer to
     * @param name the name
     * @param knownNames the names that exist
     */
    record UnknownReference(String kind, String name, List<String> knownNames) implements Problem {
        /** Copies the list. */
        public UnknownReference {
            knownNames = List.copyOf(knownNames);
        }
    }

    /**
     * Tells whether the problem can be the consequence of another part of the file that could not be parsed.
     *
     * @return true if the problem is certain only when the whole file was parsed
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
