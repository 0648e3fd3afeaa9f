package org.dogwoodwood.node.ingress;

import org.dogwoodwood.core.connections.ConnectionLimits;
import org.dogwoodwood.node.memory.ProcessDescriptors;

/**
 * The limits that the ingress enforces for every request.
 *
 * @param slowSenderMillis the maximum time for a caller to send the head of a request, and again
 *     for its body, in milliseconds
 * @param maxTimeoutMillis the maximum timeout that a caller may set, in milliseconds
 * @param maxHeaderBytes the maximum size of the header section, in bytes
 * @param connections the limits of all connections together
 */
public record IngressLimits(
        int slowSenderMillis,
        int maxTimeoutMillis,
        int maxHeaderBytes,
        ConnectionLimits connections) {

    /** The default limits. */
    public static final IngressLimits DEFAULT =
            new IngressLimits(
                    10_000,
                    600_000,
                    32 << 10,
                    ConnectionLimits.ofProcess(
                            Runtime.getRuntime().maxMemory(), ProcessDescriptors.available()));

    /**
     * The maximum number of services that a call may pass through; call chains are up to 21 deep.
     */
    public static final int MAX_DEPTH = 24;

    /** Returns these limits with another time for slow senders. */
    public IngressLimits withSlowSenderMillis(int millis) {
        return new IngressLimits(millis, maxTimeoutMillis, maxHeaderBytes, connections);
    }
}
