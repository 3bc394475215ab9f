package org.geraniumproxy.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlParseError;
import org.tomlj.TomlPosition;

/** Collects the findings of one file. Belongs to the thread that reads the file. */
final class FindingCollector {
    private static final String DUPLICATE_MARK = " previously defined at ";
    private static final Comparator<Finding> ORDER = Comparator.<Finding>comparingInt(
                    finding -> finding.position().line())
            .thenComparingInt(finding -> finding.position().column());

    private final String file;
    private final List<Finding> findings = new ArrayList<>();
    private boolean partlyParsed;

    FindingCollector(String file) {
        this.file = file;
    }

    SourcePosition position(TomlPosition position) {
        return position == null
                ? new SourcePosition(file, 1, 1)
                : new SourcePosition(file, position.line(), position.column());
    }

    void add(SourcePosition position, Problem problem) {
        findings.add(new Finding(position, problem));
    }

    /** The parser keeps the first definition of a duplicate and goes on, so that only other errors hide a part. */
    void addSyntaxError(TomlParseError error) {
        String message = error.getMessage();
        int mark = message.indexOf(DUPLICATE_MARK);
        if (mark >= 0) {
            String first = message.substring(mark + DUPLICATE_MARK.length());
            add(position(error.position()), new Problem.Duplicate("name", message.substring(0, mark), first));
            return;
        }
        partlyParsed = true;
        add(position(error.position()), new Problem.Syntax(message));
    }

    /** A part that could not be parsed may define the missing names, so such findings are left out. */
    List<Finding> result() {
        return findings.stream()
                .filter(finding -> !partlyParsed || !finding.problem().needsWholeFile())
                .sorted(ORDER)
                .toList();
    }
}
