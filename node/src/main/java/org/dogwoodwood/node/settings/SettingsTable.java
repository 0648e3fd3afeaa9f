package org.dogwoodwood.node.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads the keys of one TOML table and collects what is wrong with them. */
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

    /** Returns a table within this one, or empty if it is missing. */
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
            addProblem(key, "is not a text.", "Write a text in quotation marks.");
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

    int integer(String key, int fallback, int least, int most) {
        JsonNode value = readValue(key);
        if (value == null) {
            return fallback;
        }
        if (!value.isInt() || value.intValue() < least || value.intValue() > most) {
            String range = least + " to " + most;
            addProblem(key, "is not a whole number from " + range + ".", "Write such a number.");
            return fallback;
        }
        return value.intValue();
    }

    int requiredInteger(String key, int example, int least, int most) {
        if (!node.has(key)) {
            addProblem(key, "is missing.", "Add it, for example " + key + " = " + example + ".");
        }
        return integer(key, example, least, most);
    }

    double number(String key, double fallback, double least, double most) {
        JsonNode value = readValue(key);
        if (value == null) {
            return fallback;
        }
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(number >= least && number <= most)) {
            addProblem(
                    key,
                    "is not a number from " + least + " to " + most + ".",
                    "Write such a number.");
            return fallback;
        }
        return number;
    }

    void addProblem(String key, String problem, String remedy) {
        problems.add(new SettingsProblem(prefix + key, problem, remedy));
    }

    /** Reports the keys that nothing has read, most of which are misspelt. */
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
            addProblem(key, "is no address: " + e.getMessage(), "Write it like \"10.0.0.1:7400\".");
            return Optional.empty();
        }
    }
}
