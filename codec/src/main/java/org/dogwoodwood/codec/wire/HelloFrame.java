package org.dogwoodwood.codec.wire;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;

/**
 * The first frame in each direction of a connection.
 *
 * @param protocolVersion the protocol version of the sender
 * @param node the id of the sender
 * @param incarnation the sender's incarnation
 * @param sharedSecret the shared secret of the installation, empty if it has none
 * @param dataCentre the sender's data centre, empty if unknown
 */
public record HelloFrame(
        int protocolVersion,
        NodeId node,
        long incarnation,
        Optional<String> sharedSecret,
        Optional<String> dataCentre)
        implements Frame {

    public static final int TYPE = 1;

    /** The protocol version of this release. */
    public static final int PROTOCOL_VERSION = 4;

    /** Checks that the references are present. */
    public HelloFrame {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(sharedSecret, "sharedSecret");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /** Returns a frame with this release's protocol version. */
    public static HelloFrame of(NodeId node, long incarnation, Optional<String> sharedSecret) {
        return of(node, incarnation, sharedSecret, Optional.empty());
    }

    /** Returns a frame with this release's protocol version and the sender's data centre. */
    public static HelloFrame of(
            NodeId node,
            long incarnation,
            Optional<String> sharedSecret,
            Optional<String> dataCentre) {
        return new HelloFrame(PROTOCOL_VERSION, node, incarnation, sharedSecret, dataCentre);
    }

    @Override
    public int type() {
        return TYPE;
    }

    // Omits the shared secret, which must not be logged.
    @Override
    public String toString() {
        return "HelloFrame[" + protocolVersion + ", " + node + ", " + incarnation + "]";
    }
}
