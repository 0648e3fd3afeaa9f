package org.dogwoodwood.core.membership;

import java.util.Objects;

/**
 * The network address of a node.
 *
 * @param dataCentre the data centre
 * @param host the IP address
 * @param peerPort the port for connections of other nodes
 * @param httpPort the port for HTTP requests of callers
 */
public record NodeAddress(String dataCentre, String host, int peerPort, int httpPort) {

    /** Checks that the references are present. */
    public NodeAddress {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(host, "host");
    }
}
