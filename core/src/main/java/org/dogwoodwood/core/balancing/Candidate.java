package org.dogwoodwood.core.balancing;

import org.dogwoodwood.core.model.NodeId;

/**
 * A target to which a call can be sent.
 *
 * @param node the node beside the target
 * @param incarnation that node's incarnation
 * @param dataCentre the data centre of the target
 * @param roundTripNanos the recent round-trip time to the node, in nanoseconds
 * @param suspect whether the node's heartbeats are overdue
 */
public record Candidate(
        NodeId node, long incarnation, String dataCentre, long roundTripNanos, boolean suspect) {}
