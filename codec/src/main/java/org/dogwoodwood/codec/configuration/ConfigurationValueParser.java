package org.dogwoodwood.codec.configuration;

import static org.dogwoodwood.core.ErrorCode.VALUE_OUT_OF_RANGE;
import static org.dogwoodwood.core.ErrorCode.WRONG_TYPE;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.stream.StreamSupport;
import org.dogwoodwood.core.configuration.ConfigurationKey;
import org.dogwoodwood.core.configuration.ConfigurationProblem;
import org.dogwoodwood.core.configuration.ProblemLocation;
import org.dogwoodwood.core.configuration.ValueType;

/** Converts the TOML values of keys to the types of the keys. */
final class ConfigurationValueParser {

    private ConfigurationValueParser() {}

    /**
     * Returns the value of a key, or its default if the key is absent or its value is invalid.
     * Invalid values are reported to the builder. A required key without a value yields an empty
     * one, which {@code ConfigurationChecker} reports.
     */
    static Object parse(
            ConfigurationKey key, JsonNode object, ProblemLocation location, DraftBuilder builder) {
        JsonNode value = object.get(key.label());
        if (value == null) {
            return defaultOf(key);
        }
        Optional<Object> parsed = convert(key.type(), value);
        if (parsed.isEmpty()) {
            builder.report(invalidValue(key, value, location));
        }
        return parsed.orElseGet(() -> defaultOf(key));
    }

    private static Optional<Object> convert(ValueType type, JsonNode value) {
        return switch (type) {
            case WHOLE_NUMBER ->
                    value.isIntegralNumber() && value.canConvertToInt()
                            ? Optional.of(value.intValue())
                            : Optional.empty();
            case NUMBER -> value.isNumber() ? Optional.of(value.doubleValue()) : Optional.empty();
            case BOOLEAN ->
                    value.isBoolean() ? Optional.of(value.booleanValue()) : Optional.empty();
            case TEXT -> value.isTextual() ? Optional.of(value.textValue()) : Optional.empty();
            case TEXT_LIST -> textList(value);
        };
    }

    private static Optional<Object> textList(JsonNode value) {
        boolean allTexts =
                value.isArray()
                        && StreamSupport.stream(value.spliterator(), false)
                                .allMatch(JsonNode::isTextual);
        if (!allTexts) {
            return Optional.empty();
        }
        List<String> texts =
                StreamSupport.stream(value.spliterator(), false).map(JsonNode::textValue).toList();
        return Optional.of(texts);
    }

    private static ConfigurationProblem invalidValue(
            ConfigurationKey key, JsonNode value, ProblemLocation location) {
        if (key.type() == ValueType.WHOLE_NUMBER && value.isIntegralNumber()) {
            return new ConfigurationProblem(
                    VALUE_OUT_OF_RANGE,
                    location,
                    key.label() + " is " + value + ", outside its range.",
                    "Use a value " + key.range().orElseThrow().description() + ".");
        }
        return new ConfigurationProblem(
                WRONG_TYPE,
                location,
                key.label() + " has the wrong type" + shown(key, value) + ".",
                "Write " + key.type().description() + ".");
    }

    // An operator who writes a key in clear text must not find it in the output of a check.
    private static String shown(ConfigurationKey key, JsonNode value) {
        return key == ConfigurationKey.ACCOUNT_KEY_DIGESTS ? "" : ": " + value;
    }

    private static Object defaultOf(ConfigurationKey key) {
        return key.defaultValue()
                .orElseGet(() -> key.type() == ValueType.TEXT_LIST ? List.of() : "");
    }
}
