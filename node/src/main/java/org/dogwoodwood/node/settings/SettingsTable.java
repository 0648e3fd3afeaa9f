package org.dogwoodwood.node.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads the keys of one TOML table and collects the problems with them. */
final class SettingsTable {

    private final String prefix;
    private final JsonNode node;
    private final List<SettingsProblem> problems;
    private final Set<String> readKeys = new HashSet<>();

    SettingsTable(String prefix, JsonNode node, List<SettingsProblem> problems) {
        this.prefix = prefix;
        this.node = node;
        this.problems = problems;
    }

    /** Returns a subtable, or empty if it is missing or not a table. */
    Optional<SettingsTable> table(String key) {
        JsonNode value = readValue(key);
        if (value == null) {
            return Optional.empty();
        }
        if (!value.isObject()) {
            addProblem(key, "is not a table.", "Write it as [" + key + "] with keys below it.");
            return Optional.empty();
        }
        return Optional.of(new SettingsTable(prefix + key + ".", value, problems));
    }

    Optional<String> text(String key) {
        JsonNode value = readValue(key);
        if (value == null) {
            return Optional.empty();
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            addProblem(key, "must be a non-blank string.", "Write a string in quotation marks.");
            return Optional.empty();
        }
        return Optional.of(value.textValue());
    }

    String requiredText(String key, String example) {
        Optional<String> value = text(key);
        if (value.isEmpty() && !node.has(key)) {
            addProblem(
                    key, "is missing.", "Add it, for example " + key + " = \"" + example + "\".");
        }
        return value.orElse(example);
    }

    Optional<Endpoint> endpoint(String key) {
        return text(key).flatMap(text -> parse(key, text));
    }

    Endpoint requiredEndpoint(String key, String example) {
        Optional<Endpoint> value = parse(key, requiredText(key, example));
        return value.orElseGet(() -> Endpoint.parse(example));
    }

    List<Endpoint> endpoints(String key) {
        JsonNode value = readValue(key);
        List<Endpoint> endpoints = new ArrayList<>();
        if (value == null) {
            return endpoints;
        }
        if (!value.isArray()) {
            addProblem(key, "is not a list.", "Write it as " + key + " = [\"10.0.0.2:7400\"].");
            return endpoints;
        }
        for (JsonNode element : value) {
            parse(key, element.asText("")).ifPresent(endpoints::add);
        }
        return endpoints;
    }

    int integer(String key, int defaultValue, int min, int max) {
        JsonNode value = readValue(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isInt() || value.intValue() < min || value.intValue() > max) {
            String range = min + " to " + max;
            addProblem(key, "is not a whole number from " + range + ".", "Write such a number.");
            return defaultValue;
        }
        return value.intValue();
    }

    int requiredInteger(String key, int example, int min, int max) {
        if (!node.has(key)) {
            addProblem(key, "is missing.", "Add it, for example " + key + " = " + example + ".");
        }
        return integer(key, example, min, max);
    }

    double number(String key, double defaultValue, double min, double max) {
        JsonNode value = readValue(key);
        if (value == null) {
            return defaultValue;
        }
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(number >= min && number <= max)) {
            addProblem(
                    key,
                    "is not a number from " + min + " to " + max + ".",
                    "Write such a number.");
            return defaultValue;
        }
        return number;
    }

    void addProblem(String key, String problem, String remedy) {
        problems.add(new SettingsProblem(prefix + key, problem, remedy));
    }

    /** Reports the keys that have not been read, since most of them are misspelt. */
    void reportUnknownKeys() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!readKeys.contains(name)) {
                addProblem(name, "is unknown.", "Remove it or correct its spelling.");
            }
        }
    }

    private JsonNode readValue(String key) {
        readKeys.add(key);
        return node.get(key);
    }

    private Optional<Endpoint> parse(String key, String text) {
        try {
            return Optional.of(Endpoint.parse(text));
        } catch (IllegalArgumentException e) {
            addProblem(
                    key,
                    "is not a valid address: " + e.getMessage(),
                    "Write it like \"10.0.0.1:7400\".");
            return Optional.empty();
        }
    }
}
