package org.dogwoodwood.node.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;

/**
 * The settings of one node; {@code docs/settings.md} describes them.
 *
 * @param nodeId the node id
 * @param dataCentre the data centre of the node
 * @param callerAddress where callers connect
 * @param callerHttp2Address where callers connect for clear-text HTTP/2, empty for no such port
 * @param peerAddress where peers connect; the node announces this address to them
 * @param adminAddress where operators, monitoring and the target connect
 * @param target the target beside the node, empty if there is none or if it announces itself
 * @param logAddress the platform log, empty if there is none
 * @param seeds peer addresses to contact while no other peer is known
 * @param sharedSecret the secret of the installation, empty if it has none
 * @param budgets limits of polls and times
 */
public record NodeSettings(
        NodeId nodeId,
        String dataCentre,
        Endpoint callerAddress,
        Optional<Endpoint> callerHttp2Address,
        Endpoint peerAddress,
        Endpoint adminAddress,
        Optional<TargetSettings> target,
        Optional<Endpoint> logAddress,
        List<Endpoint> seeds,
        Optional<String> sharedSecret,
        Budgets budgets) {

    /** Checks that the references are present and copies the list. */
    public NodeSettings {
        Objects.requireNonNull(nodeId, "nodeId");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(callerHttp2Address, "callerHttp2Address");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(adminAddress, "adminAddress");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(logAddress, "logAddress");
        seeds = List.copyOf(seeds);
        Objects.requireNonNull(sharedSecret, "sharedSecret");
        Objects.requireNonNull(budgets, "budgets");
    }

    // Omits the shared secret, which must not appear in logs.
    @Override
    public String toString() {
        return "NodeSettings[" + nodeId + ", " + dataCentre + ", " + peerAddress + "]";
    }
}
