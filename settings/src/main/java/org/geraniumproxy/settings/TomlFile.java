package org.geraniumproxy.settings;

import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Parses a TOML document, converts it with a reader and returns the value or the collected findings. */
final class TomlFile {
    private TomlFile() {}

    static <T> ReadResult<T> read(
            String file, String text, BiFunction<TomlSection, FindingCollector, Optional<T>> reader) {
        FindingCollector findings = new FindingCollector(file, text);
        TomlParseResult parsed = Toml.parse(text);
        parsed.errors().forEach(findings::addSyntaxError);
        TomlSection root = new TomlSection(parsed, new SourcePosition(file, 1, 1), findings);
        Optional<T> value = reader.apply(root, findings);
        root.reportUnknownNames();
        List<Finding> result = findings.reliableFindings();
        if (!result.isEmpty()) {
            return new ReadResult.Rejected<>(result);
        }
        return new ReadResult.Accepted<>(value.orElseThrow(
                () -> new IllegalStateException("a reader returned neither a value nor a finding for " + file)));
    }
}
