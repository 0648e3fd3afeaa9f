package org.dogwoodwood.codec.gossip;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * The payload of INDIRECT_PING and INDIRECT_PONG (frames 14 and 15).
 *
 * @param node the node that the receiver of the request pings
 * @param alive whether that node answered; false in a request
 */
public record IndirectPing(NodeId node, boolean alive) {

    private static final int MAX_ID_BYTES = 255;

    /** Checks that the node is present. */
    public IndirectPing {
        Objects.requireNonNull(node, "node");
    }

    /** Encodes this payload. */
    public byte[] encode() {
        return Payloads.write(
                packer -> {
                    packer.packArrayHeader(2);
                    packer.packString(node.value());
                    packer.packBoolean(alive);
                });
    }

    /** Decodes a payload. */
    public static IndirectPing decode(byte[] payload) {
        return Payloads.read(
                payload,
                unpacker -> {
                    Payloads.expectArrayHeader(unpacker, 2);
                    NodeId node = NodeId.of(Payloads.readString(unpacker, MAX_ID_BYTES));
                    return new IndirectPing(node, unpacker.unpackBoolean());
                });
    }
}
