package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.control.ControlCluster.await;
import static org.dogwoodwood.node.control.ControlCluster.eventually;
import static org.dogwoodwood.node.control.ControlCluster.usableTargets;

import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class DefaultControlPlaneTests {

    /** Guards against nodes that do not discover each other or miss a publication. */
    @Test
    void nodesDiscoverMembersAndConfiguration() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(3);
            cluster.awaitTargets(3);
            cluster.publish("p1", 0, "coast");
            cluster.awaitVersion(1, 4_000);
            JsonObject answer = await(cluster.node(2).configuration(Optional.of("p1")));
            assertThat(answer.getJsonObject("publication").getString("state"))
                    .isEqualTo("accepted");
            eventually(
                    "all nodes are registered", 5_000, () -> registeredCount(cluster.node(3)) == 3);
        }
    }

    /** Guards against orders that require the log or take longer than 2 s to reach every node. */
    @Test
    void dataCentreIsTakenOutWhileTheLogIsDown() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(4);
            cluster.awaitTargets(4);
            cluster.controlLog(new JsonObject().put("down", true));
            cluster.order(1, "a", "out");
            eventually(
                    "no node routes to data centre a",
                    2_000,
                    () ->
                            usableTargets(cluster.node(1)) == 2
                                    && usableTargets(cluster.node(4)) == 2
                                    && cluster.node(2).routingTable().ownDataCentreOut());
            cluster.order(4, "a", "in");
            eventually(
                    "nodes route to the data centre again",
                    2_000,
                    () -> usableTargets(cluster.node(1)) == 4);
            cluster.controlLog(new JsonObject().put("down", false));
            eventually(
                    "the order reaches the log",
                    10_000,
                    () -> logRecordCount(cluster, "membership") >= 5);
        }
    }

    /** Guards against a leaving target that still receives calls after 2 s. */
    @Test
    void leavingNodeIsRemovedFromRoutingTables() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(3);
            cluster.awaitTargets(3);
            await(cluster.node(3).announceLeaving());
            eventually(
                    "no node routes to the leaving node",
                    2_000,
                    () ->
                            usableTargets(cluster.node(1)) == 2
                                    && usableTargets(cluster.node(2)) == 2);
            eventually(
                    "the leaving node is no longer registered",
                    3_000,
                    () -> registeredCount(cluster.node(1)) == 2);
        }
    }

    static int registeredCount(DefaultControlPlane node) {
        return await(node.registeredMembers(ControlCluster.SERVICE)).members().size();
    }

    static long logRecordCount(ControlCluster cluster, String stream) {
        return cluster.logStatus().getJsonObject("next_offsets").getLong(stream, 0L);
    }
}
