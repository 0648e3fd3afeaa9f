package org.dogwoodwood.node.support;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.Node;
import org.dogwoodwood.node.NodeComponents;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.settings.Budgets;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.NodeSettings;
import org.dogwoodwood.node.settings.TargetSettings;

/** A node with real sockets, a stub control plane and an optional target. */
public final class TestNode {

    private static final Budgets BUDGETS = new Budgets(20, 0.01, 400, 5);

    private final Node node;
    private final StubControlPlane control;

    private TestNode(Node node, StubControlPlane control) {
        this.node = node;
        this.control = control;
    }

    static TestNode start(
            Vertx vertx,
            String name,
            long incarnation,
            int peerPort,
            Optional<TestTarget> target,
            Optional<String> secret,
            long bodyMemoryBytes) {
        StubControlPlane control = new StubControlPlane();
        NodeSettings settings =
                new NodeSettings(
                        NodeId.of(name),
                        "north",
                        Endpoint.of("127.0.0.1", 0),
                        Optional.of(Endpoint.of("127.0.0.1", 0)),
                        Endpoint.of("127.0.0.1", peerPort),
                        Endpoint.of("127.0.0.1", 0),
                        target.map(
                                t ->
                                        new TargetSettings(
                                                TestInstallation.SERVICE, t.address(), 18, 40, 8)),
                        Optional.empty(),
                        List.of(),
                        secret,
                        BUDGETS);
        Node node =
                Node.create(
                        vertx,
                        settings,
                        incarnation,
                        NodeComponents.of(context -> control)
                                .withBodyMemory(BodyMemory.of(bodyMemoryBytes)),
                        EventLog.create());
        Waiting.get(node.start());
        return new TestNode(node, control);
    }

    public Node node() {
        return node;
    }

    public StubControlPlane control() {
        return control;
    }

    public Endpoint peerAddress() {
        return Endpoint.of("127.0.0.1", node.peerPort());
    }

    /**
     * Returns the route to the target of this node.
     *
     * @param through the address where peers connect, such as that of a proxy
     */
    public RouteTarget route(Endpoint through) {
        return new RouteTarget(
                node.identity().node(),
                node.identity().incarnation(),
                TestInstallation.SERVICE,
                "north",
                through.host(),
                through.port(),
                TargetState.WARM,
                0,
                false,
                false);
    }
}
