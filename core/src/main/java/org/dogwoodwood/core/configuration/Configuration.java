package org.dogwoodwood.core.configuration;

import java.util.Map;
import org.dogwoodwood.core.OrderedCopies;

/**
 * The complete set of named objects that operators publish, which are checked together.
 *
 * @param version the version, 0 before the first publication
 * @param services the services by name
 * @param dataCentres the data centres by name
 * @param callClasses the classes by name
 * @param policies the policies by name
 * @param routes the routes by name
 * @param accounts the client accounts by name; if there are none, requests need no key
 */
public record Configuration(
        long version,
        Map<String, ServiceDefinition> services,
        Map<String, DataCentreDefinition> dataCentres,
        Map<String, CallClassDefinition> callClasses,
        Map<String, PolicyDefinition> policies,
        Map<String, RouteDefinition> routes,
        Map<String, AccountDefinition> accounts) {

    /** Copies the maps. */
    public Configuration {
        services = OrderedCopies.copyOf(services);
        dataCentres = OrderedCopies.copyOf(dataCentres);
        callClasses = OrderedCopies.copyOf(callClasses);
        policies = OrderedCopies.copyOf(policies);
        routes = OrderedCopies.copyOf(routes);
        accounts = OrderedCopies.copyOf(accounts);
    }

    /** Creates a configuration without accounts. */
    public Configuration(
            long version,
            Map<String, ServiceDefinition> services,
            Map<String, DataCentreDefinition> dataCentres,
            Map<String, CallClassDefinition> callClasses,
            Map<String, PolicyDefinition> policies,
            Map<String, RouteDefinition> routes) {
        this(version, services, dataCentres, callClasses, policies, routes, Map.of());
    }

    /** Creates a configuration without routes and accounts. */
    public Configuration(
            long version,
            Map<String, ServiceDefinition> services,
            Map<String, DataCentreDefinition> dataCentres,
            Map<String, CallClassDefinition> callClasses,
            Map<String, PolicyDefinition> policies) {
        this(version, services, dataCentres, callClasses, policies, Map.of());
    }

    /** Returns the configuration in force before the first publication: no objects, version 0. */
    public static Configuration empty() {
        return new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Returns the same objects with the given version. */
    public Configuration withVersion(long newVersion) {
        return new Configuration(
                newVersion, services, dataCentres, callClasses, policies, routes, accounts);
    }

    /**
     * Returns the policy of a service; the default one if the service or its policy is not
     * configured.
     */
    public PolicyDefinition policyOf(String service) {
        ServiceDefinition definition = services.get(service);
        String name = definition == null ? PolicyDefinition.DEFAULT_NAME : definition.policy();
        PolicyDefinition policy = policies.get(name);
        return policy == null ? PolicyDefinition.withDefaults(name) : policy;
    }

    /** Returns the objects of one kind by name. */
    public Map<String, ? extends ConfigurationObject> objectsOf(ObjectKind kind) {
        return switch (kind) {
            case SERVICE -> services;
            case DATA_CENTRE -> dataCentres;
            case CALL_CLASS -> callClasses;
            case POLICY -> policies;
            case ROUTE -> routes;
            case ACCOUNT -> accounts;
        };
    }
}
