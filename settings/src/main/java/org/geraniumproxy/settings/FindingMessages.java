package org.geraniumproxy.settings;

import java.util.List;

/** Formats findings as messages for operators. */
public final class FindingMessages {
    /** Limits the names that a message lists, because a large configuration has thousands of groups. */
    private static final int MAXIMUM_LISTED_NAMES = 12;

    private FindingMessages() {}

    /**
     * Formats a finding.
     *
     * @param finding the finding
     * @return file, line, column, the error and the expected value
     */
    public static String of(Finding finding) {
        return finding.position() + ": " + describe(finding.problem());
    }

    /**
     * Formats several findings.
     *
     * @param findings the findings in the order of the output
     * @return one line for each finding, without a final line break
     */
    public static String of(List<Finding> findings) {
        return findings.stream()
                .map(FindingMessages::of)
                .reduce((left, right) -> left + "\n" + right)
                .orElse("");
    }

    /**
     * Formats a problem without its position.
     *
     * @param problem the problem
     * @return the error and the expected value
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
