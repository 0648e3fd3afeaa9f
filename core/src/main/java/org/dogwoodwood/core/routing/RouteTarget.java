package org.dogwoodwood.core.routing;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;

/**
 * A target according to the membership.
 *
 * @param node the node beside the target
 * @param incarnation that node's incarnation
 * @param service the service of the target
 * @param dataCentre the data centre of the target
 * @param peerHost the IP number of the node's peer port
 * @param peerPort the node's peer port
 * @param state the last state announced by the node
 * @param stateVersion the version of that state, see {@link
 *     org.dogwoodwood.core.membership.MemberTarget}
 * @param suspect whether the node's heartbeats are overdue
 * @param dataCentreOut whether operators have taken the data centre out
 */
public record RouteTarget(
        NodeId node,
        long incarnation,
        String service,
        String dataCentre,
        String peerHost,
        int peerPort,
        TargetState state,
        int stateVersion,
        boolean suspect,
        boolean dataCentreOut) {

    /** Checks that no reference is null. */
    public RouteTarget {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(peerHost, "peerHost");
        Objects.requireNonNull(state, "state");
    }

    /** Returns whether the target accepts new calls. */
    public boolean acceptsWork() {
        return state.acceptsWork() && !dataCentreOut;
    }
}
