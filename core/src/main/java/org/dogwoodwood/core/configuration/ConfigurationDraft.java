package org.dogwoodwood.core.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Objects as written by operators, before they are checked; names may be duplicated.
 *
 * @param services the services
 * @param dataCentres the data centres
 * @param callClasses the classes
 * @param policies the policies
 * @param routes the routes
 * @param accounts the client accounts
 */
public record ConfigurationDraft(
        List<DraftObject<ServiceDefinition>> services,
        List<DraftObject<DataCentreDefinition>> dataCentres,
        List<DraftObject<CallClassDefinition>> callClasses,
        List<DraftObject<PolicyDefinition>> policies,
        List<DraftObject<RouteDefinition>> routes,
        List<DraftObject<AccountDefinition>> accounts) {

    /** The name of the policy and of the class that exist by default. */
    public static final String DEFAULT_NAME = "default";

    /** Copies the lists. */
    public ConfigurationDraft {
        services = List.copyOf(services);
        dataCentres = List.copyOf(dataCentres);
        callClasses = List.copyOf(callClasses);
        policies = List.copyOf(policies);
        routes = List.copyOf(routes);
        accounts = List.copyOf(accounts);
    }

    /** Returns the objects of a configuration that was not read from a file. */
    public static ConfigurationDraft from(Configuration configuration) {
        return new ConfigurationDraft(
                withoutLocation(configuration.services().values()),
                withoutLocation(configuration.dataCentres().values()),
                withoutLocation(configuration.callClasses().values()),
                withoutLocation(configuration.policies().values()),
                withoutLocation(configuration.routes().values()),
                withoutLocation(configuration.accounts().values()));
    }

    /** Returns all objects. */
    public Stream<DraftObject<? extends ConfigurationObject>> objects() {
        return Stream.of(services, dataCentres, callClasses, policies, routes, accounts)
                .flatMap(List::stream);
    }

    /**
     * Returns the draft with the class and the policy named {@value #DEFAULT_NAME} added unless
     * they are defined.
     */
    public ConfigurationDraft withDefaults() {
        List<DraftObject<CallClassDefinition>> classes = new ArrayList<>(callClasses);
        if (!byName(callClasses).containsKey(DEFAULT_NAME)) {
            classes.add(withoutLocation(CallClassDefinition.withDefaults(DEFAULT_NAME)));
        }
        List<DraftObject<PolicyDefinition>> allPolicies = new ArrayList<>(policies);
        if (!byName(policies).containsKey(DEFAULT_NAME)) {
            allPolicies.add(withoutLocation(PolicyDefinition.withDefaults(DEFAULT_NAME)));
        }
        return new ConfigurationDraft(
                services, dataCentres, classes, allPolicies, routes, accounts);
    }

    /** Returns the objects as version 0; of objects with the same name, only the first. */
    public Configuration toConfiguration() {
        return new Configuration(
                0,
                byName(services),
                byName(dataCentres),
                byName(callClasses),
                byName(policies),
                byName(routes),
                byName(accounts));
    }

    static <T extends ConfigurationObject> Map<String, T> byName(List<DraftObject<T>> objects) {
        Map<String, T> result = new LinkedHashMap<>();
        objects.forEach(
                object -> result.putIfAbsent(object.definition().name(), object.definition()));
        return Collections.unmodifiableMap(result);
    }

    private static <T extends ConfigurationObject> List<DraftObject<T>> withoutLocation(
            Collection<T> definitions) {
        return definitions.stream().map(ConfigurationDraft::withoutLocation).toList();
    }

    private static <T extends ConfigurationObject> DraftObject<T> withoutLocation(T definition) {
        return new DraftObject<>(definition, SourceLocation.unknown());
    }
}
