package org.geraniumproxy.settings;

import java.util.HashMap;
import java.util.Map;

/** Reports values that occur more than once. Not thread-safe. */
final class UniqueValues {
    private final String kind;
    private final FindingCollector findings;
    private final Map<String, SourcePosition> firstPositions = new HashMap<>();

    /**
     * Creates an empty set of values.
     *
     * @param kind kind of the values, for findings
     * @param findings receives the findings
     */
    UniqueValues(String kind, FindingCollector findings) {
        this.kind = kind;
        this.findings = findings;
    }

    void add(String value, SourcePosition position) {
        SourcePosition first = firstPositions.putIfAbsent(value, position);
        if (first != null) {
            findings.add(
                    position,
                    new Problem.Duplicate(
                            kind, ValueTypes.quote(value), "line " + first.line() + ", column " + first.column()));
        }
    }
}
