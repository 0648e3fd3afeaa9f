package org.dogwoodwood.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.dogwoodwood.core.OrderedCopies;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.health.CrashPolicy;
import org.dogwoodwood.core.health.CrashStatus;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.model.NodeId;

/**
 * Immutable snapshot of the configuration and the targets that the control thread hands to the
 * traffic thread; replaced as a whole on every change.
 *
 * @param configuration the configuration in force
 * @param targetsByService all known targets by service, ordered by node id, whether or not they
 *     accept new calls
 * @param ownLeaseExpiryNanos the end of this node's lease, until which it may start calls, on its
 *     monotonic clock, in nanoseconds; {@link Long#MAX_VALUE} if it has no peers
 * @param ownDataCentreOut whether operators have taken this node's data centre out
 * @param suspicions the evidence against requests that were in flight at crashes of targets, by
 *     fingerprint
 */
public record RoutingTable(
        Configuration configuration,
        Map<String, List<RouteTarget>> targetsByService,
        long ownLeaseExpiryNanos,
        boolean ownDataCentreOut,
        Map<Long, CrashSuspicion> suspicions) {

    /** Checks that the configuration is not null and copies the collections. */
    public RoutingTable {
        Objects.requireNonNull(configuration, "configuration");
        targetsByService = OrderedCopies.copyOf(targetsByService);
        suspicions = OrderedCopies.copyOf(suspicions);
    }

    /** Creates a table without suspect requests. */
    public RoutingTable(
            Configuration configuration,
            Map<String, List<RouteTarget>> targetsByService,
            long ownLeaseExpiryNanos,
            boolean ownDataCentreOut) {
        this(configuration, targetsByService, ownLeaseExpiryNanos, ownDataCentreOut, Map.of());
    }

    /** Returns the initial table of a node, without a configuration, targets or a lease. */
    public static RoutingTable empty() {
        return new RoutingTable(Configuration.empty(), Map.of(), Long.MIN_VALUE, false);
    }

    /** Groups targets by service, in order of node id. */
    public static Map<String, List<RouteTarget>> groupByService(List<RouteTarget> targets) {
        return targets.stream()
                .sorted(Comparator.comparing(RouteTarget::node))
                .collect(
                        Collectors.groupingBy(
                                RouteTarget::service, TreeMap::new, Collectors.toList()));
    }

    /** Returns the known targets of a service, or an empty list if there are none. */
    public List<RouteTarget> targetsOf(String service) {
        return targetsByService.getOrDefault(service, List.of());
    }

    /** Returns the nodes whose targets of a service accept work. */
    public List<NodeId> acceptingNodes(String service) {
        return targetsOf(service).stream()
                .filter(RouteTarget::acceptsWork)
                .map(RouteTarget::node)
                .toList();
    }

    /** Returns the evidence against a request if it may run on trial only, or empty. */
    public Optional<CrashSuspicion> blocked(String service, long fingerprint) {
        return Optional.ofNullable(suspicions.get(fingerprint))
                .filter(found -> found.status(crashPolicy(service)) == CrashStatus.BLOCKED);
    }

    /** Returns the number of requests that may run on trial only by the policy of a service. */
    public long blockedRequests(String service) {
        CrashPolicy policy = crashPolicy(service);
        return suspicions.values().stream()
                .filter(found -> found.status(policy) == CrashStatus.BLOCKED)
                .count();
    }

    /** Returns when requests of a service that may crash targets are refused. */
    public CrashPolicy crashPolicy(String service) {
        return CrashPolicy.of(configuration.policyOf(service));
    }

    /** Returns the number of nodes that have a target, which is nearly all nodes. */
    public int nodes() {
        return targetsByService.values().stream().mapToInt(List::size).sum();
    }
}
