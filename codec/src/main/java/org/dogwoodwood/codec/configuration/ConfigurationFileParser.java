package org.dogwoodwood.codec.configuration;

import static org.dogwoodwood.core.ErrorCode.CONFIGURATION_SYNTAX;
import static org.dogwoodwood.core.ErrorCode.DUPLICATE_OBJECT;
import static org.dogwoodwood.core.ErrorCode.UNKNOWN_KEY;
import static org.dogwoodwood.core.ErrorCode.WRONG_TYPE;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.ConfigurationKey;
import org.dogwoodwood.core.configuration.ConfigurationProblem;
import org.dogwoodwood.core.configuration.ObjectKind;
import org.dogwoodwood.core.configuration.ProblemLocation;
import org.dogwoodwood.core.configuration.SourceLocation;

/** Parses one TOML file of the configuration into a {@link DraftBuilder}. */
final class ConfigurationFileParser {

    private static final TomlMapper MAPPER = new TomlMapper();
    private static final List<String> KIND_LABELS =
            Arrays.stream(ObjectKind.values()).map(ObjectKind::label).toList();

    private final String file;
    private final String text;
    private final DraftBuilder builder;
    private final TomlLineIndex lines;

    ConfigurationFileParser(String file, String text, DraftBuilder builder) {
        this.file = file;
        this.text = text;
        this.builder = builder;
        this.lines = TomlLineIndex.of(text);
    }

    /** Adds the objects and problems of the file to the builder. */
    void parse() {
        lines.repeatedTables().forEach(this::reportRepeatedTable);
        try {
            parseRoot(MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            if (lines.repeatedTables().isEmpty()) {
                reportSyntax(e);
            }
        }
    }

    private void reportRepeatedTable(TomlLineIndex.RepeatedTable table) {
        String name = String.join(".", table.path());
        builder.report(
                new ConfigurationProblem(
                        DUPLICATE_OBJECT,
                        new ProblemLocation(file, table.line(), name, ""),
                        name + " is defined more than once.",
                        "Keep one definition; the other is at "
                                + ProblemLocation.ofLine(file, table.firstLine())
                                + "."));
    }

    private void reportSyntax(JsonProcessingException e) {
        int line = e.getLocation() == null ? 0 : Math.max(0, e.getLocation().getLineNr());
        String reason = e.getOriginalMessage().strip().replaceAll("\\s+", " ");
        builder.report(
                ConfigurationProblem.of(
                        CONFIGURATION_SYNTAX,
                        ProblemLocation.ofLine(file, line),
                        "The TOML is not valid: " + reason + "."));
    }

    private void parseRoot(JsonNode root) {
        for (Map.Entry<String, JsonNode> entry : root.properties()) {
            Optional<ObjectKind> kind = ObjectKind.fromLabel(entry.getKey());
            if (kind.isEmpty()) {
                reportUnknownKind(entry.getKey(), entry.getValue());
            } else if (!entry.getValue().isObject()) {
                reportNotTable(List.of(entry.getKey()), kind.get().qualify("NAME"));
            } else {
                parseKind(kind.get(), entry.getValue());
            }
        }
    }

    private void reportUnknownKind(String name, JsonNode value) {
        int line = lines.lineOf(List.of(name));
        if (line == 0 && value.isObject() && !value.isEmpty()) {
            line = lines.lineOf(List.of(name, value.fieldNames().next()));
        }
        builder.report(
                new ConfigurationProblem(
                        UNKNOWN_KEY,
                        new ProblemLocation(file, line, name, ""),
                        "'" + name + "' is not a kind of object.",
                        builder.suggestion(name, KIND_LABELS)
                                .orElse("Use one of " + String.join(", ", KIND_LABELS) + ".")));
    }

    private void parseKind(ObjectKind kind, JsonNode objects) {
        for (Map.Entry<String, JsonNode> entry : objects.properties()) {
            if (entry.getValue().isObject()) {
                parseObject(kind, entry.getKey(), entry.getValue());
            } else {
                reportNotTable(List.of(kind.label(), entry.getKey()), kind.qualify(entry.getKey()));
            }
        }
    }

    private void reportNotTable(List<String> path, String table) {
        builder.report(
                new ConfigurationProblem(
                        WRONG_TYPE,
                        new ProblemLocation(file, lines.lineOf(path), String.join(".", path), ""),
                        "'" + String.join(".", path) + "' must be a table.",
                        "Write [" + table + "] on a separate line, and its keys below it."));
    }

    private void parseObject(ObjectKind kind, String name, JsonNode object) {
        Map<String, Integer> keyLines = new HashMap<>();
        object.fieldNames()
                .forEachRemaining(
                        key -> keyLines.put(key, lines.lineOf(List.of(kind.label(), name, key))));
        int line = lines.lineOf(List.of(kind.label(), name));
        SourceLocation location = new SourceLocation(file, line, keyLines);
        reportUnknownKeys(kind, name, object, location);
        Map<ConfigurationKey, Object> values = new EnumMap<>(ConfigurationKey.class);
        for (ConfigurationKey key : kind.keys()) {
            ProblemLocation keyLocation =
                    new ProblemLocation(
                            file, location.lineOf(key.label()), kind.qualify(name), key.label());
            values.put(key, ConfigurationValueParser.parse(key, object, keyLocation, builder));
        }
        builder.add(kind, name, values, location);
    }

    private void reportUnknownKeys(
            ObjectKind kind, String name, JsonNode object, SourceLocation location) {
        List<String> known = kind.keys().stream().map(ConfigurationKey::label).toList();
        object.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!known.contains(key)) {
                                reportUnknownKey(kind, name, key, location, known);
                            }
                        });
    }

    private void reportUnknownKey(
            ObjectKind kind, String name, String key, SourceLocation location, List<String> known) {
        builder.report(
                new ConfigurationProblem(
                        UNKNOWN_KEY,
                        new ProblemLocation(file, location.lineOf(key), kind.qualify(name), key),
                        "'" + key + "' is not a key of a " + kind.label() + ".",
                        builder.suggestion(key, known)
                                .orElse("Use one of " + String.join(", ", known) + ".")));
    }
}
