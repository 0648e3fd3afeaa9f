package org.dogwoodwood.core.configuration;

import static org.dogwoodwood.core.ErrorCode.MISSING_KEY;
import static org.dogwoodwood.core.ErrorCode.VALUE_OUT_OF_RANGE;

import java.util.Collection;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** Checks each value independently: names, ranges and required values. */
final class ValueRules {

    /** Names must be valid in paths and as the first label of the {@code Host} header. */
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

    private static final Pattern HOST =
            Pattern.compile("[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?");

    private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");

    private ValueRules() {}

    static void check(ConfigurationDraft draft, Consumer<ConfigurationProblem> problems) {
        draft.objects()
                .forEach(
                        object -> {
                            checkName(object, problems);
                            object.definition()
                                    .kind()
                                    .keys()
                                    .forEach(key -> checkKey(object, key, problems));
                        });
        draft.services().forEach(service -> checkService(service, problems));
    }

    private static void checkName(DraftObject<?> object, Consumer<ConfigurationProblem> problems) {
        if (!NAME.matcher(object.definition().name()).matches()) {
            problems.accept(
                    new ConfigurationProblem(
                            VALUE_OUT_OF_RANGE,
                            object.locationOf(""),
                            "The name '" + object.definition().name() + "' is not allowed.",
                            "Use at most 63 lower-case letters, digits and hyphens."));
        }
    }

    private static void checkKey(
            DraftObject<?> object, ConfigurationKey key, Consumer<ConfigurationProblem> problems) {
        Object value = key.valueOf(object.definition());
        key.range()
                .filter(range -> !range.contains(((Number) value).doubleValue()))
                .ifPresent(range -> problems.accept(outOfRange(object, key, value, range)));
        if (key.defaultValue().isEmpty() && isAbsent(value)) {
            problems.accept(missing(object, key));
        }
    }

    private static boolean isAbsent(Object value) {
        return value instanceof Collection<?> values
                ? values.isEmpty()
                : value.toString().isBlank();
    }

    private static ConfigurationProblem outOfRange(
            DraftObject<?> object, ConfigurationKey key, Object value, ValueRange range) {
        return new ConfigurationProblem(
                VALUE_OUT_OF_RANGE,
                object.locationOf(key.label()),
                key.label() + " is " + value + ", outside its range.",
                "Use a value " + range.description() + ".");
    }

    private static ConfigurationProblem missing(DraftObject<?> object, ConfigurationKey key) {
        return new ConfigurationProblem(
                MISSING_KEY,
                object.locationOf(key.label()),
                key.label() + " is missing or empty.",
                "Add " + key.label() + ": " + key.type().description() + ".");
    }

    private static void checkService(
            DraftObject<ServiceDefinition> service, Consumer<ConfigurationProblem> problems) {
        ServiceDefinition definition = service.definition();
        if (definition.callClasses().isEmpty()) {
            problems.accept(
                    new ConfigurationProblem(
                            MISSING_KEY,
                            service.locationOf("call_classes"),
                            "call_classes is empty, so nobody may call the service.",
                            "Name at least one class, or remove the key for the default class."));
        }
        checkPatterns(service, "hosts", definition.hosts(), HOST, problems);
        checkPatterns(
                service, "idempotent_methods", definition.idempotentMethods(), METHOD, problems);
    }

    private static void checkPatterns(
            DraftObject<?> object,
            String key,
            Collection<String> values,
            Pattern pattern,
            Consumer<ConfigurationProblem> problems) {
        values.stream()
                .filter(value -> !pattern.matcher(value).matches())
                .forEach(
                        value ->
                                problems.accept(
                                        new ConfigurationProblem(
                                                VALUE_OUT_OF_RANGE,
                                                object.locationOf(key),
                                                "'" + value + "' is not allowed in " + key + ".",
                                                "Use values such as "
                                                        + (pattern == HOST
                                                                ? "booking.example.org."
                                                                : "GET and PUT."))));
    }
}
