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
 * Finds the route of a call and distributes the calls of a route to its services; used by one
 * thread.
 *
 * <p>Services take turns by smooth weighted round robin, so that short runs of calls keep the
 * weights, too.
 */
public final class RouteResolver {

    private Configuration configuration = Configuration.empty();
    private Map<String, List<RouteDefinition>> routesByHost = Map.of();
    private Map<String, Distribution> distributions = new HashMap<>();

    private RouteResolver() {}

    /** Returns a resolver that has distributed no call. */
    public static RouteResolver create() {
        return new RouteResolver();
    }

    /**
     * Finds the route with the longest prefix of a path and the service whose turn it is.
     *
     * @param current the configuration in force, not null
     * @param host the host without the port; empty if the request has none
     * @param path the path of the request; a query may follow
     * @return the route and service, or empty if no route matches
     */
    public Optional<ResolvedRoute> resolve(Configuration current, String host, String path) {
        if (current.version() != configuration.version()) {
            index(current);
        }
        for (RouteDefinition route :
                routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                String name = distributions.get(route.name()).next();
                return Optional.ofNullable(configuration.services().get(name))
                        .map(service -> new ResolvedRoute(route, service));
            }
        }
        return Optional.empty();
    }

    private void index(Configuration current) {
        configuration = current;
        Map<String, List<RouteDefinition>> index = new HashMap<>();
        Map<String, Distribution> next = new HashMap<>();
        for (RouteDefinition route : current.routes().values()) {
            String host = route.host().toLowerCase(Locale.ROOT);
            index.computeIfAbsent(host, key -> new ArrayList<>()).add(route);
            Distribution known = distributions.get(route.name());
            boolean unchanged = known != null && known.shares.equals(route.shares());
            next.put(route.name(), unchanged ? known : new Distribution(route.shares()));
        }
        Comparator<RouteDefinition> longestFirst =
                Comparator.comparing(route -> -route.pathPrefix().length());
        index.values().forEach(routes -> routes.sort(longestFirst));
        routesByHost = index;
        distributions = next;
    }

    /** A route and the service that takes the call. */
    public record ResolvedRoute(RouteDefinition route, ServiceDefinition service) {}

    /** Smooth weighted round robin over the services of one route. */
    private static final class Distribution {

        private final List<ServiceShare> shares;
        private final int[] credit;
        private final int totalWeight;

        Distribution(List<ServiceShare> shares) {
            this.shares = shares;
            this.credit = new int[shares.size()];
            this.totalWeight = shares.stream().mapToInt(ServiceShare::weight).sum();
        }

        String next() {
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
