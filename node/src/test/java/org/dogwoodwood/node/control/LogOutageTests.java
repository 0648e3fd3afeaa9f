package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.control.ControlCluster.TIMINGS;
import static org.dogwoodwood.node.control.ControlCluster.await;
import static org.dogwoodwood.node.control.ControlCluster.eventually;
import static org.dogwoodwood.node.control.ControlCluster.pause;
import static org.dogwoodwood.node.control.ControlCluster.usableTargets;
import static org.dogwoodwood.node.control.DefaultControlPlaneTests.logRecordCount;
import static org.dogwoodwood.node.control.DefaultControlPlaneTests.registeredCount;

import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.dogwoodwood.standins.log.StandinLogOptions;
import org.junit.jupiter.api.Test;

class LogOutageTests {

    /** Guards against a node that cannot start or becomes ready too early while the log is down. */
    @Test
    void nodeStartsFromPeersWhileTheLogIsDown() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(2);
            cluster.awaitTargets(2);
            cluster.publish("p1", 0, "coast");
            cluster.awaitVersion(1, 4_000);
            cluster.controlLog(new JsonObject().put("down", true));
            DefaultControlPlane newNode = cluster.start(3, 100);
            assertThat(newNode.isReady()).isFalse();
            cluster.awaitTargets(3);
            assertThat(newNode.routingTable().configuration().version()).isEqualTo(1);
        }
    }

    /** Guards against nodes that report ready although no node has the configuration. */
    @Test
    void nodesWithoutLogAndReadyPeersAreNotReady() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.controlLog(new JsonObject().put("down", true));
            cluster.startAll(2);
            pause(1_500);
            assertThat(cluster.node(1).isReady()).isFalse();
            cluster.controlLog(new JsonObject().put("down", false));
            cluster.awaitTargets(2);
        }
    }

    /** Guards against a log outage that stops failure detection or configuration updates. */
    @Test
    void failureDetectionAndConfigurationUpdatesContinueDuringOutage() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(4);
            cluster.awaitTargets(4);
            cluster.controlLog(new JsonObject().put("delay_ms", 3_000));
            cluster.kill(4);
            eventually(
                    "the others no longer choose the killed node",
                    4_000,
                    () ->
                            usableTargets(cluster.node(1)) == 3
                                    && usableTargets(cluster.node(3)) == 3);
            cluster.controlLog(new JsonObject().put("delay_ms", 0));
            cluster.publish("p1", 0, "coast");
            cluster.awaitVersion(1, 5_000);
        }
    }

    /** Guards against a lost response after which a record takes effect twice or not at all. */
    @Test
    void lostResponsesHaveNoEffect() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.controlLog(new JsonObject().put("deduplicate", false).put("lose_answers", 3));
            cluster.startAll(2);
            cluster.awaitTargets(2);
            eventually(
                    "both nodes are registered",
                    10_000,
                    () -> registeredCount(cluster.node(1)) == 2);
            // A retry of an announcement still in flight must not consume the lost response.
            pause(1_000);
            cluster.controlLog(new JsonObject().put("lose_answers", 1));
            cluster.publish("p1", 0, "coast");
            cluster.awaitVersion(1, 4_000);
            cluster.publish("p2", 1, "coast");
            cluster.awaitVersion(2, 4_000);
            assertThat(logRecordCount(cluster, "configuration")).isEqualTo(3);
        }
    }

    /** Guards against a losing publication that is not rejected, or a different winner per node. */
    @Test
    void exactlyOneConcurrentPublicationIsAccepted() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(3);
            cluster.awaitTargets(3);
            cluster.publish("p1", 0, "coast");
            cluster.publish("p2", 0, "desert");
            cluster.awaitVersion(1, 4_000);
            for (int number = 1; number <= 3; number++) {
                DefaultControlPlane node = cluster.node(number);
                // The version may be in force before the node has read the second record.
                eventually(
                        "both publications have been read",
                        4_000,
                        () -> !outcome(node, "p2").equals("pending"));
                assertThat(outcome(node, "p1")).isEqualTo("accepted");
                assertThat(outcome(node, "p2")).isEqualTo("rejected");
            }
        }
    }

    /** Guards against an outdated version on a node that starts after the records have expired. */
    @Test
    void nodeStartsAfterRecordsExpired() {
        try (ControlCluster cluster = ControlCluster.create()) {
            cluster.startAll(2);
            cluster.awaitTargets(2);
            cluster.publish("p1", 0, "coast");
            cluster.publish("p2", 1, "desert");
            cluster.awaitVersion(2, 4_000);
            cluster.controlLog(new JsonObject().put("expire_before", 100));
            cluster.start(3, 100);
            cluster.awaitVersion(2, 5_000);
            cluster.publish("p3", 2, "coast");
            cluster.awaitVersion(3, 5_000);
        }
    }

    /** Guards against a configuration or registration that expires while nodes are alive. */
    @Test
    void recordsAreRenewedBeforeTheyExpire() {
        long retentionMillis = 16_000;
        try (ControlCluster cluster =
                ControlCluster.create(
                        TIMINGS.withRetentionMillis(retentionMillis),
                        new StandinLogOptions(0, 300, retentionMillis))) {
            cluster.startAll(2);
            cluster.awaitTargets(2);
            cluster.publish("p1", 0, "coast");
            cluster.awaitVersion(1, 4_000);
            eventually(
                    "the configuration is renewed",
                    16_000,
                    () -> logRecordCount(cluster, "configuration") >= 2);
            eventually(
                    "the announcements are renewed",
                    16_000,
                    () -> logRecordCount(cluster, "membership") >= 4);
            pause(4_000);
            cluster.kill(1);
            cluster.kill(2);
            DefaultControlPlane newNode = cluster.start(5, 100);
            cluster.awaitVersion(1, 5_000);
            assertThat(registeredCount(newNode)).isGreaterThanOrEqualTo(2);
        }
    }

    /** Guards against a burst of appends when the log becomes available again. */
    @Test
    void appendsAreSpreadAfterAnOutage() {
        ControlTimings timings = TIMINGS.withRetentionMillis(86_400_000);
        try (ControlCluster cluster = ControlCluster.create(timings, StandinLogOptions.onPort(0))) {
            cluster.controlLog(new JsonObject().put("down", true));
            cluster.startAll(40);
            pause(4_000);
            cluster.controlLog(new JsonObject().put("down", false));
            eventually(
                    "all nodes are registered",
                    10_000,
                    () -> registeredCount(cluster.node(1)) == 40);
            long most = cluster.maxRecordsPerWindow("membership", 200);
            System.out.println("appends in the busiest 200 ms after the outage: " + most);
            assertThat(most).isBetween(1L, 20L);
        }
    }

    private static String outcome(DefaultControlPlane node, String publicationId) {
        return await(node.configuration(Optional.of(publicationId)))
                .getJsonObject("publication")
                .getString("state");
    }
}
