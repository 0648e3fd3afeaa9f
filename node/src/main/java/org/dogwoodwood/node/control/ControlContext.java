package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import org.dogwoodwood.node.admin.AdminRouter;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.peer.PeerIdentity;
import org.dogwoodwood.node.peer.PeerTransport;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.NodeSettings;

/**
 * The resources and addresses that a node provides to its control plane.
 *
 * @param vertx the Vert.x instance; the control plane runs on a separate event loop
 * @param settings the settings of the node
 * @param identity the node id and incarnation
 * @param peerAddress the peer address to announce, with the port in use
 * @param callerAddress the configured address for callers, to announce
 * @param transport the connections to peers
 * @param admin the router of the admin port, to which the control plane adds its routes
 * @param events the event log
 */
public record ControlContext(
        Vertx vertx,
        NodeSettings settings,
        PeerIdentity identity,
        Endpoint peerAddress,
        Endpoint callerAddress,
        PeerTransport transport,
        AdminRouter admin,
        EventLog events) {}
