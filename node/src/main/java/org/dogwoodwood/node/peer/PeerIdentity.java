package org.dogwoodwood.node.peer;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.settings.NodeSettings;

/**
 * The identity that this node presents to its peers.
 *
 * @param node the node id
 * @param incarnation the incarnation of the node's process
 * @param sharedSecret the secret of the installation, empty if it has none
 * @param dataCentre the data centre of the node, empty if unknown
 */
public record PeerIdentity(
        NodeId node, long incarnation, Optional<String> sharedSecret, Optional<String> dataCentre) {

    /** Checks that the references are present. */
    public PeerIdentity {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(sharedSecret, "sharedSecret");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /** Creates an identity without a data centre. */
    public PeerIdentity(NodeId node, long incarnation, Optional<String> sharedSecret) {
        this(node, incarnation, sharedSecret, Optional.empty());
    }

    /** Returns the identity of a process of the node with the given settings. */
    public static PeerIdentity of(NodeSettings settings, long incarnation) {
        return new PeerIdentity(
                settings.nodeId(),
                incarnation,
                settings.sharedSecret(),
                Optional.of(settings.dataCentre()));
    }

    HelloFrame hello() {
        return HelloFrame.of(node, incarnation, sharedSecret, dataCentre);
    }

    // Omits the secret, so that it cannot reach a log.
    @Override
    public String toString() {
        return node + "/" + incarnation;
    }
}
