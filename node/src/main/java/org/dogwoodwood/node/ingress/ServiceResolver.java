package org.dogwoodwood.node.ingress;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ServiceDefinition;

/** Finds the service of a request by its path prefix or its host. */
final class ServiceResolver {

    private static final String PREFIX = "/services/";

    private Configuration configuration = Configuration.empty();
    private Map<String, ServiceDefinition> servicesByHost = Map.of();

    /**
     * Returns the service and the path that its target receives, or empty if there is none.
     *
     * @param current the configuration in force, not null
     * @param host the host without the port; empty if the request has none
     * @param uri the path and query of the request
     */
    Optional<ResolvedService> resolve(Configuration current, String host, String uri) {
        if (uri.startsWith(PREFIX)) {
            return byPath(current, uri);
        }
        if (current.version() != configuration.version()) {
            configuration = current;
            servicesByHost = indexHosts(current);
        }
        String lowerHost = host.toLowerCase(Locale.ROOT);
        ServiceDefinition service = servicesByHost.get(lowerHost);
        if (service == null) {
            int dot = lowerHost.indexOf('.');
            String label = dot < 0 ? lowerHost : lowerHost.substring(0, dot);
            service = current.services().get(label);
        }
        return Optional.ofNullable(service).map(found -> new ResolvedService(found, uri));
    }

    private static Optional<ResolvedService> byPath(Configuration current, String uri) {
        int end = PREFIX.length();
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        ServiceDefinition service = current.services().get(uri.substring(PREFIX.length(), end));
        if (service == null) {
            return Optional.empty();
        }
        String rest = uri.substring(end);
        String path = rest.startsWith("/") ? rest : "/" + rest;
        return Optional.of(new ResolvedService(service, path));
    }

    private static Map<String, ServiceDefinition> indexHosts(Configuration current) {
        Map<String, ServiceDefinition> index = new HashMap<>();
        for (ServiceDefinition service : current.services().values()) {
            for (String host : service.hosts()) {
                index.put(host.toLowerCase(Locale.ROOT), service);
            }
        }
        return index;
    }

    /** A service and the path that its target receives. */
    record ResolvedService(ServiceDefinition service, String path) {}
}
