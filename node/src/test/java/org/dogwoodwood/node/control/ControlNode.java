package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.Node;
import org.dogwoodwood.node.NodeComponents;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.Budgets;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.NodeSettings;
import org.dogwoodwood.node.settings.TargetSettings;

/** Starts complete nodes on loopback that use a stand-in log. */
final class ControlNode {

    private ControlNode() {}

    static Node start(
            Vertx vertx,
            String name,
            String dataCentre,
            long incarnation,
            TargetSettings target,
            int logPort,
            List<Endpoint> seeds) {
        NodeSettings settings =
                new NodeSettings(
                        NodeId.of(name),
                        dataCentre,
                        Endpoint.of("127.0.0.1", 0),
                        Optional.empty(),
                        Endpoint.of("127.0.0.1", 0),
                        Endpoint.of("127.0.0.1", 0),
                        Optional.of(target),
                        Optional.of(Endpoint.of("127.0.0.1", logPort)),
                        seeds,
                        Optional.empty(),
                        new Budgets(20, 0.01, 400, 5));
        Node node =
                Node.create(
                        vertx,
                        settings,
                        incarnation,
                        NodeComponents.of(DefaultControlPlane::from),
                        EventLog.create());
        ControlCluster.await(node.start());
        return node;
    }
}
