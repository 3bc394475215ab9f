package org.geraniumproxy.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.Names;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/**
 * Reads the values of a TOML table by name. It records the names that were read and can report all others as unknown. A
 * missing required value or an invalid value is reported and read as empty.
 */
final class TomlSection {
    private final TomlTable table;
    private final SourcePosition position;
    private final FindingCollector findings;
    private final List<String> knownNames = new ArrayList<>();

    TomlSection(TomlTable table, SourcePosition position, FindingCollector findings) {
        this.table = table;
        this.position = position;
        this.findings = findings;
    }

    SourcePosition position() {
        return position;
    }

    SourcePosition positionOf(String name) {
        return table.contains(List.of(name)) ? findings.position(table.inputPositionOf(List.of(name))) : position;
    }

    <T> Optional<T> required(String name, ValueType<T> type) {
        Optional<T> value = optional(name, type);
        if (!table.contains(List.of(name))) {
            findings.add(position, new Problem.MissingName(name, type.expected()));
        }
        return value;
    }

    <T> Optional<T> optional(String name, ValueType<T> type) {
        knownNames.add(name);
        Object value = table.get(List.of(name));
        if (value == null) {
            return Optional.empty();
        }
        return valueOrReport(positionOf(name), type.parse(name, value));
    }

    /** Reads an array whose elements have one type. Invalid elements are reported and skipped. */
    <T> List<Located<T>> list(String name, ValueType<T> type) {
        return optional(name, ValueTypes.ARRAY)
                .map(array -> elements(name, array, type))
                .orElse(List.of());
    }

    /**
     * Reads a table of tables, for example all customers by name. Tables with an invalid name are reported and skipped.
     */
    Map<String, TomlSection> sections(String name) {
        Map<String, TomlSection> sections = new LinkedHashMap<>();
        optional(name, ValueTypes.TABLE).ifPresent(parent -> {
            TomlSection parentSection = new TomlSection(parent, positionOf(name), findings);
            for (String key : parent.keySet()) {
                if (!Names.isValid(key)) {
                    findings.add(parentSection.positionOf(key), invalidName(name, key));
                    continue;
                }
                parentSection
                        .optional(key, ValueTypes.TABLE)
                        .ifPresent(child ->
                                sections.put(key, new TomlSection(child, parentSection.positionOf(key), findings)));
            }
        });
        return sections;
    }

    Optional<TomlSection> section(String name) {
        return optional(name, ValueTypes.TABLE).map(child -> new TomlSection(child, positionOf(name), findings));
    }

    /** Reads an array of tables, for example the backend servers of a group. */
    List<TomlSection> sectionList(String name) {
        return list(name, ValueTypes.TABLE).stream()
                .map(child -> new TomlSection(child.value(), child.position(), findings))
                .toList();
    }

    void reportUnknownNames() {
        for (String name : table.keySet()) {
            if (!knownNames.contains(name)) {
                findings.add(positionOf(name), new Problem.UnknownName(name, knownNames));
            }
        }
    }

    private static Problem invalidName(String table, String key) {
        return new Problem.WrongValue("a name in " + table, ValueTypes.quote(key), ValueTypes.NAME.expected());
    }

    private <T> List<Located<T>> elements(String name, TomlArray array, ValueType<T> type) {
        List<Located<T>> elements = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            SourcePosition elementPosition = findings.position(array.inputPositionOf(index));
            valueOrReport(elementPosition, type.parse(name, array.get(index)))
                    .ifPresent(value -> elements.add(new Located<>(value, elementPosition)));
        }
        return elements;
    }

    private <T> Optional<T> valueOrReport(SourcePosition errorPosition, ParseResult<T> parsed) {
        return switch (parsed) {
            case ParseResult.Valid<T>(T value) -> Optional.of(value);
            case ParseResult.Invalid<T>(Problem problem) -> {
                findings.add(errorPosition, problem);
                yield Optional.empty();
            }
        };
    }

    /**
     * A value with its position in the file.
     *
     * @param value the converted value
     * @param position position of the value
     * @param <T> type of the value
     */
    record Located<T>(T value, SourcePosition position) {}
}
