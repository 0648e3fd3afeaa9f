package org.dogwoodwood.core.balancing;

import org.dogwoodwood.core.model.NodeId;

/**
 * A target to which a call can be sent.
 *
 * @param node the node beside the target
 * @param incarnation that node's incarnation
 * @param stateVersion the version of the target's state according to the membership
 * @param dataCentre the data centre of the target
 * @param roundTripNanos the recent round-trip time to the node, in nanoseconds
 * @param suspect whether the node's heartbeats are overdue
 */
public record Candidate(
        NodeId node,
        long incarnation,
        int stateVersion,
        String dataCentre,
        long roundTripNanos,
        boolean suspect) {

    /** Creates a candidate whose target has not changed its state yet. */
    public Candidate(
            NodeId node,
            long incarnation,
            String dataCentre,
            long roundTripNanos,
            boolean suspect) {
        this(node, incarnation, 0, dataCentre, roundTripNanos, suspect);
    }
}
