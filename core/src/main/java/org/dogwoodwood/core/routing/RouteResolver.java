package org.dogwoodwood.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.configuration.ServiceShare;

/**
 * Finds the route of a call and distributes the calls of a route among its services. Not
 * thread-safe.
 *
 * <p>Uses smooth weighted round robin, so that short sequences of calls follow the weights, too.
 */
public final class RouteResolver {

    private Configuration configuration = Configuration.empty();
    private Map<String, List<RouteDefinition>> routesByHost = Map.of();
    private Map<String, WeightedRoundRobin> roundRobinByRoute = new HashMap<>();

    private RouteResolver() {}

    /** Returns a resolver in its initial state. */
    public static RouteResolver create() {
        return new RouteResolver();
    }

    /**
     * Finds the route with the longest matching path prefix and selects its next service by weight.
     *
     * @param current the configuration in force, not null
     * @param host the host without the port; empty if the request has none
     * @param path the path of the request, with or without a query
     * @return the route and service, or empty if no route matches
     */
    public Optional<ResolvedRoute> resolve(Configuration current, String host, String path) {
        if (current.version() != configuration.version()) {
            buildIndex(current);
        }
        for (RouteDefinition route :
                routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                String name = roundRobinByRoute.get(route.name()).nextService();
                return Optional.ofNullable(configuration.services().get(name))
                        .map(service -> new ResolvedRoute(route, service));
            }
        }
        return Optional.empty();
    }

    private void buildIndex(Configuration current) {
        configuration = current;
        Map<String, List<RouteDefinition>> index = new HashMap<>();
        Map<String, WeightedRoundRobin> next = new HashMap<>();
        for (RouteDefinition route : current.routes().values()) {
            String host = route.host().toLowerCase(Locale.ROOT);
            index.computeIfAbsent(host, key -> new ArrayList<>()).add(route);
            WeightedRoundRobin known = roundRobinByRoute.get(route.name());
            boolean unchanged = known != null && known.shares.equals(route.shares());
            next.put(route.name(), unchanged ? known : new WeightedRoundRobin(route.shares()));
        }
        Comparator<RouteDefinition> longestFirst =
                Comparator.comparing(route -> -route.pathPrefix().length());
        index.values().forEach(routes -> routes.sort(longestFirst));
        routesByHost = index;
        roundRobinByRoute = next;
    }

    /** A route and the service selected for the call. */
    public record ResolvedRoute(RouteDefinition route, ServiceDefinition service) {}

    /** Smooth weighted round robin over the services of one route. */
    private static final class WeightedRoundRobin {

        private final List<ServiceShare> shares;
        private final int[] credit;
        private final int totalWeight;

        WeightedRoundRobin(List<ServiceShare> shares) {
            this.shares = shares;
            this.credit = new int[shares.size()];
            this.totalWeight = shares.stream().mapToInt(ServiceShare::weight).sum();
        }

        String nextService() {
            int best = 0;
            for (int i = 0; i < credit.length; i++) {
                credit[i] += shares.get(i).weight();
                if (credit[i] > credit[best]) {
                    best = i;
                }
            }
            credit[best] -= totalWeight;
            return shares.get(best).service();
        }
    }
}
