package org.dogwoodwood.node.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.settings.Endpoint;

/**
 * The settings of the control plane of one node.
 *
 * @param node the node
 * @param incarnation the wall-clock milliseconds at process start
 * @param address the address at which peers and callers reach the node
 * @param logAddress the platform log, empty if there is none
 * @param seeds peer addresses for discovering members, also after a partition
 * @param timings the timings of the control plane
 */
public record ControlSettings(
        NodeId node,
        long incarnation,
        NodeAddress address,
        Optional<Endpoint> logAddress,
        List<Endpoint> seeds,
        ControlTimings timings) {

    /** Checks that the references are present and copies the seeds. */
    public ControlSettings {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(logAddress, "logAddress");
        Objects.requireNonNull(timings, "timings");
        seeds = List.copyOf(seeds);
    }
}
