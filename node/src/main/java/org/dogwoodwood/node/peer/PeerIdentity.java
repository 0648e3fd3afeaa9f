package org.dogwoodwood.node.peer;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.core.model.NodeId;

/**
 * The identity that this node presents to its peers.
 *
 * @param node the node id
 * @param incarnation the incarnation of the node's process
 * @param sharedSecret the secret of the installation, empty if it has none
 */
public record PeerIdentity(NodeId node, long incarnation, Optional<String> sharedSecret) {

    /** Checks that the references are present. */
    public PeerIdentity {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(sharedSecret, "sharedSecret");
    }

    HelloFrame hello() {
        return HelloFrame.of(node, incarnation, sharedSecret);
    }

    // Omits the secret, so that it cannot reach a log.
    @Override
    public String toString() {
        return node + "/" + incarnation;
    }
}
