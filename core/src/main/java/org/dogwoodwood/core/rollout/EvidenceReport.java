package org.dogwoodwood.core.rollout;

import java.util.Map;
import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * What the ingress of a node has seen of a roll-out since the node learned of its order. Counts
 * only grow, so that a lost report loses nothing.
 *
 * @param node the node
 * @param incarnation the incarnation of its process
 * @param orderId the order
 * @param sequence increases with each report of the process
 * @param calls the calls that reached the service at this ingress
 * @param routes the attempts by the name of their route
 */
public record EvidenceReport(
        NodeId node,
        long incarnation,
        long orderId,
        long sequence,
        long calls,
        Map<String, RouteEvidence> routes) {

    /** Checks that the node is present and copies the routes. */
    public EvidenceReport {
        Objects.requireNonNull(node, "node");
        routes = Map.copyOf(routes);
    }
}
