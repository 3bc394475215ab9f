package org.geraniumproxy.settings;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlParseError;
import org.tomlj.TomlPosition;

/** Collects the findings of one file. Not thread-safe. */
final class FindingCollector {
    private static final String DUPLICATE_KEY_MARKER = " previously defined at ";
    private static final Comparator<Finding> ORDER = Comparator.<Finding>comparingInt(
                    finding -> finding.position().line())
            .thenComparingInt(finding -> finding.position().column());

    private final String file;
    private final List<String> lines;
    private final List<Finding> findings = new ArrayList<>();

    /** Lines whose values the TOML parser assigned to the wrong table. */
    private final BitSet misplacedLines = new BitSet();

    private boolean hasSyntaxErrors;

    FindingCollector(String file, String text) {
        this.file = file;
        this.lines = text.lines().toList();
    }

    SourcePosition position(TomlPosition position) {
        return position == null
                ? new SourcePosition(file, 1, 1)
                : new SourcePosition(file, position.line(), position.column());
    }

    void add(SourcePosition position, Problem problem) {
        findings.add(new Finding(position, problem));
    }

    void addSyntaxError(TomlParseError error) {
        SourcePosition position = position(error.position());
        markMisplacedLines(position.line());
        String message = error.getMessage();
        int markerIndex = message.indexOf(DUPLICATE_KEY_MARKER);
        if (markerIndex >= 0) {
            String firstUse = message.substring(markerIndex + DUPLICATE_KEY_MARKER.length());
            add(position, new Problem.Duplicate("name", message.substring(0, markerIndex), firstUse));
        } else {
            hasSyntaxErrors = true;
            add(position, new Problem.Syntax(message));
        }
    }

    /** Returns the findings in file order, without those that may only result from a syntax error elsewhere. */
    List<Finding> reliableFindings() {
        return findings.stream().filter(this::isReliable).sorted(ORDER).toList();
    }

    private boolean isReliable(Finding finding) {
        if (finding.problem() instanceof Problem.Syntax) {
            return true;
        }
        if (hasSyntaxErrors && finding.problem().requiresCompleteParse()) {
            return false;
        }
        return !misplacedLines.get(finding.position().line());
    }

    /** After an invalid table header, the parser assigns the values up to the next header to the preceding table. */
    private void markMisplacedLines(int line) {
        if (!isTableHeader(line)) {
            return;
        }
        for (int next = line + 1; next <= lines.size() && !isTableHeader(next); next++) {
            misplacedLines.set(next);
        }
    }

    private boolean isTableHeader(int line) {
        return line <= lines.size() && lines.get(line - 1).stripLeading().startsWith("[");
    }
}
