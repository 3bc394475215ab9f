package org.geraniumproxy.settings;

import java.util.List;

/** Builds the messages of findings. */
public final class FindingMessages {
    /** Longest list of names in a message; a configuration of the design size has thousands of groups. */
    private static final int MAXIMUM_LISTED_NAMES = 12;

    private FindingMessages() {}

    /**
     * Builds the message of a finding.
     *
     * @param finding the finding
     * @return file, line, column, what is wrong and what would be correct
     */
    public static String of(Finding finding) {
        return finding.position() + ": " + describe(finding.problem());
    }

    /**
     * Builds the messages of several findings.
     *
     * @param findings the findings
     * @return one line for each finding
     */
    public static String of(List<Finding> findings) {
        return findings.stream()
                .map(FindingMessages::of)
                .reduce((left, right) -> left + "\n" + right)
                .orElse("");
    }

    /**
     * Describes a problem without its place.
     *
     * @param problem the problem
     * @return what is wrong and what would be correct
     */
    public static String describe(Problem problem) {
        return switch (problem) {
            case Problem.Syntax(String detail) -> "invalid TOML: " + detail;
            case Problem.UnknownName(String name, List<String> allowed) ->
                "unknown name \"" + name + "\"; expected one of: " + join(allowed);
            case Problem.MissingName(String name, String expected) -> "\"" + name + "\" is missing; add " + expected;
            case Problem.WrongType(String name, String actual, String expected) ->
                "\"" + name + "\" holds " + actual + "; expected " + expected;
            case Problem.WrongUnit(String name, String actual, String expected) ->
                "\"" + name + "\" has no valid unit: " + actual + "; expected " + expected;
            case Problem.WrongValue(String name, String actual, String expected) ->
                "\"" + name + "\" is " + actual + "; expected " + expected;
            case Problem.Duplicate(String what, String value, String first) ->
                "duplicate " + what + " " + value + "; it must be unique and is first used at " + first;
            case Problem.UnknownReference(String kind, String name, List<String> known) ->
                "no " + kind + " is named \"" + name + "\"; " + describeKnownNames(kind, known);
        };
    }

    private static String describeKnownNames(String kind, List<String> knownNames) {
        return knownNames.isEmpty() ? "the file defines no " + kind : "defined names: " + join(knownNames);
    }

    private static String join(List<String> names) {
        if (names.size() <= MAXIMUM_LISTED_NAMES) {
            return String.join(", ", names);
        }
        return String.join(", ", names.subList(0, MAXIMUM_LISTED_NAMES)) + " and "
                + (names.size() - MAXIMUM_LISTED_NAMES) + " more";
    }
}
