package org.dogwoodwood.codec.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.AccountKey;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.ConfigurationDraft;
import org.dogwoodwood.core.configuration.ConfigurationKey;
import org.dogwoodwood.core.configuration.ConfigurationProblem;
import org.dogwoodwood.core.configuration.DataCentreDefinition;
import org.dogwoodwood.core.configuration.DraftObject;
import org.dogwoodwood.core.configuration.Execution;
import org.dogwoodwood.core.configuration.NameSuggestions;
import org.dogwoodwood.core.configuration.ObjectKind;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.ProblemLocation;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.configuration.ServiceShare;
import org.dogwoodwood.core.configuration.SourceLocation;

/** Collects the objects and problems of all files of a configuration. */
final class DraftBuilder {

    private final NameSuggestions suggestions;
    private final List<ConfigurationProblem> problems = new ArrayList<>();
    private final List<DraftObject<ServiceDefinition>> services = new ArrayList<>();
    private final List<DraftObject<DataCentreDefinition>> dataCentres = new ArrayList<>();
    private final List<DraftObject<CallClassDefinition>> callClasses = new ArrayList<>();
    private final List<DraftObject<PolicyDefinition>> policies = new ArrayList<>();
    private final List<DraftObject<RouteDefinition>> routes = new ArrayList<>();
    private final List<DraftObject<AccountDefinition>> accounts = new ArrayList<>();

    DraftBuilder(NameSuggestions suggestions) {
        this.suggestions = suggestions;
    }

    /** Adds an object; {@code values} must contain every key of its kind. */
    void add(
            ObjectKind kind,
            String name,
            Map<ConfigurationKey, Object> values,
            SourceLocation location) {
        TypedValues reader = new TypedValues(values);
        switch (kind) {
            case SERVICE -> services.add(new DraftObject<>(toService(name, reader), location));
            case DATA_CENTRE ->
                    dataCentres.add(
                            new DraftObject<>(
                                    new DataCentreDefinition(
                                            name, reader.text(ConfigurationKey.DATA_CENTRE_REGION)),
                                    location));
            case CALL_CLASS ->
                    callClasses.add(
                            new DraftObject<>(
                                    new CallClassDefinition(
                                            name,
                                            reader.integer(ConfigurationKey.CALL_CLASS_WEIGHT),
                                            reader.number(ConfigurationKey.CALL_CLASS_MAX_SHARE)),
                                    location));
            case POLICY -> policies.add(new DraftObject<>(toPolicy(name, reader), location));
            case ROUTE -> routes.add(new DraftObject<>(toRoute(name, reader, location), location));
            case ACCOUNT ->
                    accounts.add(new DraftObject<>(toAccount(name, reader, location), location));
            default -> throw new IllegalArgumentException("Unsupported object kind " + kind + ".");
        }
    }

    void report(ConfigurationProblem problem) {
        problems.add(problem);
    }

    /** Returns a "Did you mean" remedy with the closest known name, or empty if none is close. */
    Optional<String> suggestion(String misspelt, List<String> known) {
        return suggestions.closest(misspelt, known).map(name -> "Did you mean '" + name + "'?");
    }

    List<ConfigurationProblem> problems() {
        return List.copyOf(problems);
    }

    boolean hasNoService() {
        return services.isEmpty();
    }

    ConfigurationDraft draft() {
        return new ConfigurationDraft(
                services, dataCentres, callClasses, policies, routes, accounts);
    }

    private static ServiceDefinition toService(String name, TypedValues values) {
        return new ServiceDefinition(
                name,
                values.textList(ConfigurationKey.SERVICE_HOSTS),
                values.text(ConfigurationKey.SERVICE_POLICY),
                values.textList(ConfigurationKey.SERVICE_DATA_CENTRES),
                values.textList(ConfigurationKey.SERVICE_CALL_CLASSES),
                values.integer(ConfigurationKey.SERVICE_TIMEOUT_MILLIS),
                new HashSet<>(values.textList(ConfigurationKey.SERVICE_IDEMPOTENT_METHODS)),
                values.integer(ConfigurationKey.SERVICE_KEY_WINDOW_SECONDS),
                values.integer(ConfigurationKey.SERVICE_MAX_REQUEST_BYTES),
                values.integer(ConfigurationKey.SERVICE_MAX_ANSWER_BYTES),
                values.text(ConfigurationKey.SERVICE_HEALTH_PATH));
    }

    private static PolicyDefinition toPolicy(String name, TypedValues values) {
        return new PolicyDefinition(
                name,
                values.number(ConfigurationKey.POLICY_RETRY_SHARE),
                values.number(ConfigurationKey.POLICY_HEDGE_QUANTILE),
                values.integer(ConfigurationKey.POLICY_QUEUE_LIMIT_MILLIS),
                values.integer(ConfigurationKey.POLICY_COLD_SLOTS),
                values.number(ConfigurationKey.POLICY_EJECTION_SHARE),
                values.integer(ConfigurationKey.POLICY_CRASH_LIMIT),
                values.integer(ConfigurationKey.POLICY_CRASH_HOLD_SECONDS),
                values.number(ConfigurationKey.POLICY_COLD_CALLS_PER_SECOND),
                values.integer(ConfigurationKey.POLICY_DATA_CENTRE_COST_MILLIS));
    }

    private RouteDefinition toRoute(String name, TypedValues values, SourceLocation location) {
        List<ServiceShare> shares = new ArrayList<>();
        for (String text : values.textList(ConfigurationKey.ROUTE_SHARES)) {
            Optional<ServiceShare> share = ServiceShare.parse(text);
            if (share.isEmpty()) {
                reportInvalidRouteValue(
                        name, ConfigurationKey.ROUTE_SHARES, text, "outings=90.", location);
            }
            share.ifPresent(shares::add);
        }
        String label = values.text(ConfigurationKey.ROUTE_EXECUTION);
        Optional<Execution> execution = Execution.fromLabel(label);
        if (execution.isEmpty() && !label.isEmpty()) {
            String remedy = "idempotent or at-most-once.";
            reportInvalidRouteValue(
                    name, ConfigurationKey.ROUTE_EXECUTION, label, remedy, location);
        }
        if (label.isEmpty()) {
            report(
                    new ConfigurationProblem(
                            ErrorCode.MISSING_KEY,
                            routeLocation(name, ConfigurationKey.ROUTE_EXECUTION, location),
                            "execution is missing or empty.",
                            "Add execution: idempotent or at-most-once."));
        }
        return new RouteDefinition(
                name,
                values.text(ConfigurationKey.ROUTE_HOST),
                values.text(ConfigurationKey.ROUTE_PATH_PREFIX),
                shares,
                execution.orElse(Execution.AT_MOST_ONCE),
                values.integer(ConfigurationKey.ROUTE_TIMEOUT_MILLIS),
                values.integer(ConfigurationKey.ROUTE_TARGET_LATENCY_MILLIS),
                values.text(ConfigurationKey.ROUTE_CALL_CLASS),
                values.integer(ConfigurationKey.ROUTE_MAX_ATTEMPTS),
                values.flag(ConfigurationKey.ROUTE_PUBLIC));
    }

    private AccountDefinition toAccount(String name, TypedValues values, SourceLocation location) {
        Set<AccountKey> keys = new TreeSet<>();
        for (String text : values.textList(ConfigurationKey.ACCOUNT_KEY_DIGESTS)) {
            if (!AccountKey.isDigest(text)) {
                reportKeyDigest(
                        name, location, ErrorCode.VALUE_OUT_OF_RANGE, "An entry is not a digest.");
            } else if (!keys.add(new AccountKey(text))) {
                reportKeyDigest(
                        name, location, ErrorCode.DUPLICATE_OBJECT, "A digest occurs twice.");
            }
        }
        String callClass = values.text(ConfigurationKey.ACCOUNT_CALL_CLASS);
        return new AccountDefinition(
                name,
                keys,
                callClass.isEmpty() ? Optional.empty() : Optional.of(callClass),
                values.number(ConfigurationKey.ACCOUNT_CALLS_PER_SECOND),
                values.integer(ConfigurationKey.ACCOUNT_BURST));
    }

    // The message does not contain the value, since it may be a key in clear text.
    private void reportKeyDigest(
            String account, SourceLocation location, ErrorCode code, String message) {
        String label = ConfigurationKey.ACCOUNT_KEY_DIGESTS.label();
        report(
                new ConfigurationProblem(
                        code,
                        new ProblemLocation(
                                location.file(),
                                location.lineOf(label),
                                ObjectKind.ACCOUNT.qualify(account),
                                label),
                        message,
                        "Write the SHA-256 digest of each key once, as 64 lower-case hexadecimal"
                                + " digits."));
    }

    private void reportInvalidRouteValue(
            String name,
            ConfigurationKey key,
            String value,
            String remedy,
            SourceLocation location) {
        report(
                new ConfigurationProblem(
                        ErrorCode.VALUE_OUT_OF_RANGE,
                        routeLocation(name, key, location),
                        "'" + value + "' is not allowed in " + key.label() + ".",
                        "Use values such as " + remedy));
    }

    private static ProblemLocation routeLocation(
            String name, ConfigurationKey key, SourceLocation location) {
        return new ProblemLocation(
                location.file(),
                location.lineOf(key.label()),
                ObjectKind.ROUTE.qualify(name),
                key.label());
    }

    /** Provides typed access to the values of an object. */
    private record TypedValues(Map<ConfigurationKey, Object> byKey) {

        int integer(ConfigurationKey key) {
            return ((Number) byKey.get(key)).intValue();
        }

        double number(ConfigurationKey key) {
            return ((Number) byKey.get(key)).doubleValue();
        }

        String text(ConfigurationKey key) {
            return (String) byKey.get(key);
        }

        boolean flag(ConfigurationKey key) {
            return (Boolean) byKey.get(key);
        }

        List<String> textList(ConfigurationKey key) {
            return ((List<?>) byKey.get(key)).stream().map(String.class::cast).toList();
        }
    }
}
