package org.dogwoodwood.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** The keys of configuration objects: name, type, unit, default and range of each. */
// All values are immutable, which Error Prone cannot verify for Object and Function.
@SuppressWarnings("ImmutableEnumChecker")
public enum ConfigurationKey {
    SERVICE_HOSTS("hosts", ValueType.TEXT_LIST, "", List.of(), service(ServiceDefinition::hosts)),
    SERVICE_POLICY(
            "policy",
            ValueType.TEXT,
            "",
            ConfigurationDraft.DEFAULT_NAME,
            service(ServiceDefinition::policy)),
    SERVICE_DATA_CENTRES(
            "data_centres", ValueType.TEXT_LIST, "", null, service(ServiceDefinition::dataCentres)),
    SERVICE_CALL_CLASSES(
            "call_classes",
            ValueType.TEXT_LIST,
            "",
            List.of(ConfigurationDraft.DEFAULT_NAME),
            service(ServiceDefinition::callClasses)),
    SERVICE_TIMEOUT_MILLIS(
            "timeout_millis",
            "milliseconds",
            ServiceDefinition.DEFAULT_TIMEOUT_MILLIS,
            ValueRange.closed(1, 600_000),
            service(ServiceDefinition::timeoutMillis)),
    SERVICE_IDEMPOTENT_METHODS(
            "idempotent_methods",
            ValueType.TEXT_LIST,
            "",
            ServiceDefinition.IDEMPOTENT_METHODS.stream().sorted().toList(),
            service(object -> object.idempotentMethods().stream().sorted().toList())),
    SERVICE_KEY_WINDOW_SECONDS(
            "key_window_seconds",
            "seconds",
            ServiceDefinition.DEFAULT_KEY_WINDOW_SECONDS,
            ValueRange.closed(1, 86_400),
            service(ServiceDefinition::keyWindowSeconds)),
    // Frames between nodes are limited to 6 MiB; 5 MiB bodies leave space for headers.
    SERVICE_MAX_REQUEST_BYTES(
            "max_request_bytes",
            "bytes",
            ServiceDefinition.DEFAULT_MAX_REQUEST_BYTES,
            ValueRange.closed(1, 5 << 20),
            service(ServiceDefinition::maxRequestBytes)),
    SERVICE_MAX_ANSWER_BYTES(
            "max_answer_bytes",
            "bytes",
            ServiceDefinition.DEFAULT_MAX_ANSWER_BYTES,
            ValueRange.closed(1, 5 << 20),
            service(ServiceDefinition::maxAnswerBytes)),
    SERVICE_HEALTH_PATH(
            "health_path",
            ValueType.TEXT,
            "",
            ServiceDefinition.DEFAULT_HEALTH_PATH,
            service(ServiceDefinition::healthPath)),

    DATA_CENTRE_REGION(
            "region", ValueType.TEXT, "", null, dataCentre(DataCentreDefinition::region)),

    CALL_CLASS_WEIGHT(
            "weight",
            "",
            CallClassDefinition.DEFAULT_WEIGHT,
            ValueRange.closed(1, 1_000),
            callClass(CallClassDefinition::weight)),
    CALL_CLASS_MAX_SHARE(
            "max_share",
            "share of a target's limit",
            CallClassDefinition.DEFAULT_MAX_SHARE,
            ValueRange.above(0, 1),
            callClass(CallClassDefinition::maxShare)),

    POLICY_RETRY_SHARE(
            "retry_share",
            "share of successful calls",
            PolicyDefinition.DEFAULT_RETRY_SHARE,
            ValueRange.closed(0, 0.5),
            policy(PolicyDefinition::retryShare)),
    POLICY_HEDGE_QUANTILE(
            "hedge_quantile",
            "quantile of latency; 0 for no hedges",
            PolicyDefinition.DEFAULT_HEDGE_QUANTILE,
            ValueRange.belowOrZero(0.5, 1),
            policy(PolicyDefinition::hedgeQuantile)),
    POLICY_QUEUE_LIMIT_MILLIS(
            "queue_limit_millis",
            "milliseconds",
            PolicyDefinition.DEFAULT_QUEUE_LIMIT_MILLIS,
            ValueRange.closed(0, 60_000),
            policy(PolicyDefinition::queueLimitMillis)),
    POLICY_COLD_SLOTS(
            "cold_slots",
            "calls",
            PolicyDefinition.DEFAULT_COLD_SLOTS,
            ValueRange.closed(1, 1_000),
            policy(PolicyDefinition::coldSlots)),
    POLICY_EJECTION_SHARE(
            "ejection_share",
            "share of a service's targets",
            PolicyDefinition.DEFAULT_EJECTION_SHARE,
            ValueRange.closed(0, 0.5),
            policy(PolicyDefinition::ejectionShare)),
    POLICY_CRASH_LIMIT(
            "crash_limit",
            "targets",
            PolicyDefinition.DEFAULT_CRASH_LIMIT,
            ValueRange.closed(1, 10),
            policy(PolicyDefinition::crashLimit)),
    POLICY_CRASH_HOLD_SECONDS(
            "crash_hold_seconds",
            "seconds",
            PolicyDefinition.DEFAULT_CRASH_HOLD_SECONDS,
            ValueRange.closed(1, 86_400),
            policy(PolicyDefinition::crashHoldSeconds)),
    POLICY_COLD_CALLS_PER_SECOND(
            "cold_calls_per_second",
            "calls per second; 0 for no limit",
            PolicyDefinition.DEFAULT_COLD_CALLS_PER_SECOND,
            ValueRange.closed(0, 1_000_000),
            policy(PolicyDefinition::coldCallsPerSecond)),
    POLICY_DATA_CENTRE_COST_MILLIS(
            "data_centre_cost_millis",
            "milliseconds",
            PolicyDefinition.DEFAULT_DATA_CENTRE_COST_MILLIS,
            ValueRange.closed(0, 60_000),
            policy(PolicyDefinition::dataCentreCostMillis)),

    ROUTE_HOST("host", ValueType.TEXT, "", null, route(RouteDefinition::host)),
    ROUTE_PATH_PREFIX("path_prefix", ValueType.TEXT, "", "/", route(RouteDefinition::pathPrefix)),
    ROUTE_SHARES(
            "shares",
            ValueType.TEXT_LIST,
            "",
            null,
            route(object -> object.shares().stream().map(ServiceShare::toString).toList())),
    ROUTE_EXECUTION(
            "execution", ValueType.TEXT, "", null, route(object -> object.execution().label())),
    ROUTE_TIMEOUT_MILLIS(
            "timeout_millis",
            "milliseconds",
            ServiceDefinition.DEFAULT_TIMEOUT_MILLIS,
            ValueRange.closed(1, 600_000),
            route(RouteDefinition::timeoutMillis)),
    ROUTE_TARGET_LATENCY_MILLIS(
            "target_latency_millis",
            "milliseconds",
            RouteDefinition.DEFAULT_TARGET_LATENCY_MILLIS,
            ValueRange.closed(1, 600_000),
            route(RouteDefinition::targetLatencyMillis)),
    ROUTE_CALL_CLASS(
            "call_class",
            ValueType.TEXT,
            "",
            ConfigurationDraft.DEFAULT_NAME,
            route(RouteDefinition::callClass)),
    ROUTE_MAX_ATTEMPTS(
            "max_attempts",
            "targets",
            RouteDefinition.DEFAULT_MAX_ATTEMPTS,
            ValueRange.closed(1, 10),
            route(RouteDefinition::maxAttempts)),
    ROUTE_PUBLIC("public", ValueType.BOOLEAN, "", false, route(RouteDefinition::publicAccess)),

    ACCOUNT_KEY_DIGESTS(
            "key_digests",
            ValueType.TEXT_LIST,
            "",
            List.of(),
            account(object -> object.keys().stream().map(AccountKey::digest).toList())),
    ACCOUNT_CALL_CLASS(
            "call_class", ValueType.TEXT, "", "", account(object -> object.callClass().orElse(""))),
    ACCOUNT_CALLS_PER_SECOND(
            "calls_per_second",
            "calls per second; 0 for no limit",
            0.0,
            ValueRange.closed(0, 10_000_000),
            account(AccountDefinition::callsPerSecond)),
    ACCOUNT_BURST(
            "burst",
            "calls",
            0,
            ValueRange.closed(0, 10_000_000),
            account(AccountDefinition::burst));

    private final String label;
    private final ValueType type;
    private final String unit;
    private final Object defaultValue;
    private final ValueRange range;
    private final ValueReader reader;

    ConfigurationKey(
            String label, ValueType type, String unit, Object defaultValue, ValueReader reader) {
        this(label, type, unit, defaultValue, null, reader);
    }

    ConfigurationKey(
            String label, String unit, int defaultValue, ValueRange range, ValueReader reader) {
        this(label, ValueType.WHOLE_NUMBER, unit, defaultValue, range, reader);
    }

    ConfigurationKey(
            String label, String unit, double defaultValue, ValueRange range, ValueReader reader) {
        this(label, ValueType.NUMBER, unit, defaultValue, range, reader);
    }

    ConfigurationKey(
            String label,
            ValueType type,
            String unit,
            Object defaultValue,
            ValueRange range,
            ValueReader reader) {
        this.label = label;
        this.type = type;
        this.unit = unit;
        this.defaultValue = defaultValue;
        this.range = range;
        this.reader = reader;
    }

    /** Returns the kind of object that this key belongs to. */
    public ObjectKind kind() {
        return reader.kind();
    }

    /** Returns the name of the key in a file. */
    public String label() {
        return label;
    }

    /** Returns the type of the value. */
    public ValueType type() {
        return type;
    }

    /** Returns the unit of the value, empty if it has none. */
    public String unit() {
        return unit;
    }

    /** Returns the default value, or empty if the key is required. */
    public Optional<Object> defaultValue() {
        return Optional.ofNullable(defaultValue);
    }

    /** Returns the range of allowed values, or empty if the key is not numeric. */
    public Optional<ValueRange> range() {
        return Optional.ofNullable(range);
    }

    /**
     * Returns the value of this key in an object: a number, a truth value, a string or a list of
     * strings.
     *
     * @param object an object of this key's kind, not null
     */
    public Object valueOf(ConfigurationObject object) {
        return reader.value().apply(object);
    }

    private static ValueReader service(Function<ServiceDefinition, Object> value) {
        return new ValueReader(
                ObjectKind.SERVICE, object -> value.apply((ServiceDefinition) object));
    }

    private static ValueReader dataCentre(Function<DataCentreDefinition, Object> value) {
        return new ValueReader(
                ObjectKind.DATA_CENTRE, object -> value.apply((DataCentreDefinition) object));
    }

    private static ValueReader callClass(Function<CallClassDefinition, Object> value) {
        return new ValueReader(
                ObjectKind.CALL_CLASS, object -> value.apply((CallClassDefinition) object));
    }

    private static ValueReader policy(Function<PolicyDefinition, Object> value) {
        return new ValueReader(ObjectKind.POLICY, object -> value.apply((PolicyDefinition) object));
    }

    private static ValueReader route(Function<RouteDefinition, Object> value) {
        return new ValueReader(ObjectKind.ROUTE, object -> value.apply((RouteDefinition) object));
    }

    private static ValueReader account(Function<AccountDefinition, Object> value) {
        return new ValueReader(
                ObjectKind.ACCOUNT, object -> value.apply((AccountDefinition) object));
    }

    /** The kind of object that a key belongs to, and the accessor of its value. */
    private record ValueReader(ObjectKind kind, Function<ConfigurationObject, Object> value) {}
}
