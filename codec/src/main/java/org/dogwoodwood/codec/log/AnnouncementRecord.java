package org.dogwoodwood.codec.log;

import java.util.Objects;

/**
 * Announces the target beside a node, either for the first time or as a renewal.
 *
 * @param node the node
 * @param incarnation the node's incarnation
 * @param service the service of the target
 * @param dataCentre the data centre of the node
 * @param host the IP address of the node
 * @param peerPort the port for frames between nodes
 * @param httpPort the port for callers
 * @param slots the number of calls that the target can process concurrently
 * @param connections the number of connections that the target accepts
 */
public record AnnouncementRecord(
        String node,
        long incarnation,
        String service,
        String dataCentre,
        String host,
        int peerPort,
        int httpPort,
        int slots,
        int connections)
        implements LogRecord {

    /** Checks that the references are present. */
    public AnnouncementRecord {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(host, "host");
    }

    @Override
    public String subject() {
        return "node/" + node;
    }
}
