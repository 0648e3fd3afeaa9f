package org.dogwoodwood.core.configuration;

import static org.dogwoodwood.core.ErrorCode.CONTRADICTORY_LIMITS;
import static org.dogwoodwood.core.ErrorCode.DUPLICATE_OBJECT;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

/** Checks the consistency of values within an object and across objects. */
final class ConsistencyRules {

    private static final long MILLIS_PER_SECOND = 1_000;

    /** The sum of shares that is accepted as a whole target, below 1 to allow for rounding. */
    private static final double MIN_SHARE_SUM = 0.999;

    private final Consumer<ConfigurationProblem> problems;

    private ConsistencyRules(Consumer<ConfigurationProblem> problems) {
        this.problems = problems;
    }

    static void check(ConfigurationDraft draft, Consumer<ConfigurationProblem> problems) {
        ConsistencyRules rules = new ConsistencyRules(problems);
        Map<String, PolicyDefinition> policies = ConfigurationDraft.byName(draft.policies());
        Map<String, CallClassDefinition> classes = ConfigurationDraft.byName(draft.callClasses());
        for (DraftObject<ServiceDefinition> service : draft.services()) {
            rules.checkKeyWindow(service);
            rules.checkShares(service, classes);
            rules.checkRepeatedNames(service);
            PolicyDefinition policy = policies.get(service.definition().policy());
            if (policy != null) {
                rules.checkHedging(service, policy);
                rules.checkQueueLimit(service, policy);
            }
        }
        rules.checkHosts(draft.services());
        rules.checkRoutes(draft.routes());
    }

    /** The key window must cover the timeout; else a key could expire while its call is running. */
    private void checkKeyWindow(DraftObject<ServiceDefinition> service) {
        ServiceDefinition definition = service.definition();
        if (definition.keyWindowSeconds() * MILLIS_PER_SECOND < definition.timeoutMillis()) {
            reportContradiction(
                    service,
                    "key_window_seconds",
                    "key_window_seconds = "
                            + definition.keyWindowSeconds()
                            + " is shorter than timeout_millis = "
                            + definition.timeoutMillis()
                            + ", so a key could be forgotten while its call runs.",
                    "Make key_window_seconds at least as long as the timeout.");
        }
    }

    /** The shares of all classes must add up to a whole target; else a part of it is never used. */
    private void checkShares(
            DraftObject<ServiceDefinition> service, Map<String, CallClassDefinition> classes) {
        List<String> names = service.definition().callClasses();
        List<CallClassDefinition> known =
                names.stream().distinct().map(classes::get).filter(Objects::nonNull).toList();
        double sum = known.stream().mapToDouble(CallClassDefinition::maxShare).sum();
        if (!known.isEmpty() && known.size() == names.size() && sum < MIN_SHARE_SUM) {
            reportContradiction(
                    service,
                    "call_classes",
                    String.format(
                            Locale.ROOT,
                            "The max_share values of its classes add up to %.2f, so part of each"
                                    + " target can never be used.",
                            sum),
                    "Raise max_share of the classes until they add up to 1 or more.");
        }
    }

    private void checkRepeatedNames(DraftObject<ServiceDefinition> service) {
        ServiceDefinition definition = service.definition();
        checkRepeated(service, "data_centres", definition.dataCentres());
        checkRepeated(service, "call_classes", definition.callClasses());
        checkRepeated(service, "hosts", definition.hosts());
    }

    private void checkRepeated(DraftObject<?> object, String key, List<String> values) {
        Set<String> seen = new HashSet<>();
        values.stream()
                .filter(value -> !seen.add(value))
                .forEach(
                        value ->
                                problems.accept(
                                        new ConfigurationProblem(
                                                DUPLICATE_OBJECT,
                                                object.locationOf(key),
                                                key + " names '" + value + "' more than once.",
                                                "Keep one of them.")));
    }

    private void checkHedging(DraftObject<ServiceDefinition> service, PolicyDefinition policy) {
        if (policy.hedgeQuantile() > 0 && service.definition().idempotentMethods().isEmpty()) {
            reportContradiction(
                    service,
                    "idempotent_methods",
                    "policy."
                            + policy.name()
                            + " hedges calls, but the service has no idempotent method.",
                    "Name its idempotent methods, or use a policy with hedge_quantile = 0.");
        }
    }

    /**
     * The queue limit must be below the timeout; else calls are dropped after waiting in the queue.
     */
    private void checkQueueLimit(DraftObject<ServiceDefinition> service, PolicyDefinition policy) {
        int timeoutMillis = service.definition().timeoutMillis();
        if (policy.queueLimitMillis() >= timeoutMillis) {
            reportContradiction(
                    service,
                    "timeout_millis",
                    "queue_limit_millis = "
                            + policy.queueLimitMillis()
                            + " of policy."
                            + policy.name()
                            + " is not below timeout_millis = "
                            + timeoutMillis
                            + ", so calls would time out in the queue.",
                    "Lower queue_limit_millis of the policy or raise timeout_millis.");
        }
    }

    /**
     * A {@code Host} header must select one service, by its name as the first label or by a host.
     */
    private void checkHosts(List<DraftObject<ServiceDefinition>> services) {
        Map<String, String> owners = new HashMap<>();
        services.forEach(
                service ->
                        owners.putIfAbsent(service.definition().name(), service.qualifiedName()));
        for (DraftObject<ServiceDefinition> service : services) {
            for (String host : new HashSet<>(service.definition().hosts())) {
                String owner =
                        owners.putIfAbsent(host.toLowerCase(Locale.ROOT), service.qualifiedName());
                if (owner != null && !owner.equals(service.qualifiedName())) {
                    problems.accept(
                            new ConfigurationProblem(
                                    DUPLICATE_OBJECT,
                                    service.locationOf("hosts"),
                                    "The host '" + host + "' already selects " + owner + ".",
                                    "Remove the host from one of the two services."));
                }
            }
        }
    }

    /** Host and prefix must select one route, and a prefix must end at a path segment. */
    private void checkRoutes(List<DraftObject<RouteDefinition>> routes) {
        Map<String, String> owners = new HashMap<>();
        for (DraftObject<RouteDefinition> route : routes) {
            RouteDefinition definition = route.definition();
            String prefix = definition.pathPrefix();
            if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
                reportContradiction(
                        route,
                        "path_prefix",
                        "The prefix '" + prefix + "' does not begin and end with a slash.",
                        "Write a prefix such as /outings/.");
            }
            if (definition.shares().stream().mapToInt(ServiceShare::weight).sum() == 0) {
                reportContradiction(
                        route,
                        "shares",
                        "The weights of the shares add up to 0, so no service takes the calls.",
                        "Give at least one service a weight above 0.");
            }
            String hostAndPrefix = definition.host().toLowerCase(Locale.ROOT) + prefix;
            String owner = owners.putIfAbsent(hostAndPrefix, route.qualifiedName());
            if (owner != null) {
                problems.accept(
                        new ConfigurationProblem(
                                DUPLICATE_OBJECT,
                                route.locationOf("path_prefix"),
                                "Host and prefix already select " + owner + ".",
                                "Remove one of the two routes."));
            }
        }
    }

    private void reportContradiction(
            DraftObject<?> object, String key, String message, String remedy) {
        problems.accept(
                new ConfigurationProblem(
                        CONTRADICTORY_LIMITS, object.locationOf(key), message, remedy));
    }
}
