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
 * @param incarnations the incarnations of the node's process
 * @param sharedSecret the secret of the installation, empty if it has none
 * @param dataCentre the data centre of the node, empty if unknown
 */
public record PeerIdentity(
        NodeId node,
        OwnIncarnations incarnations,
        Optional<String> sharedSecret,
        Optional<String> dataCentre) {

    /** Checks that the references are present. */
    public PeerIdentity {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(incarnations, "incarnations");
        Objects.requireNonNull(sharedSecret, "sharedSecret");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /** Creates an identity without a data centre. */
    public PeerIdentity(NodeId node, long incarnation, Optional<String> sharedSecret) {
        this(node, OwnIncarnations.of(incarnation), sharedSecret, Optional.empty());
    }

    /** Returns the identity of a process of the node with the given settings. */
    public static PeerIdentity of(NodeSettings settings, long incarnation) {
        return new PeerIdentity(
                settings.nodeId(),
                OwnIncarnations.of(incarnation),
                settings.sharedSecret(),
                Optional.of(settings.dataCentre()));
    }

    /** Returns the incarnation by which peers know the process now. */
    public long incarnation() {
        return incarnations.current();
    }

    /** Returns whether an incarnation is one of this process. */
    public boolean isOwnIncarnation(long incarnation) {
        return incarnations.contains(incarnation);
    }

    /** Adopts the incarnation by which the members know this node, if it is a higher one. */
    public void raiseIncarnation(long incarnation) {
        incarnations.raise(incarnation);
    }

    HelloFrame hello() {
        return HelloFrame.of(node, incarnation(), sharedSecret, dataCentre);
    }

    // Omits the secret, so that it cannot reach a log.
    @Override
    public String toString() {
        return node + "/" + incarnation();
    }
}
