package org.dogwoodwood.cli.node;

import java.util.Optional;
import org.dogwoodwood.cli.http.NetworkAddress;

/**
 * The result of querying a node for its status.
 *
 * @param address the admin address that was queried
 * @param status the status, or empty if there is none
 * @param failure why there is no status, empty if there is one
 */
public record NodeReply(NetworkAddress address, Optional<NodeStatus> status, String failure) {

    static NodeReply of(NetworkAddress address, NodeStatus status) {
        return new NodeReply(address, Optional.of(status), "");
    }

    static NodeReply failed(NetworkAddress address, String failure) {
        return new NodeReply(address, Optional.empty(), failure);
    }
}
