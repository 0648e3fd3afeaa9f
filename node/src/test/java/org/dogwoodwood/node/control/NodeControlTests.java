package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.control.ControlCluster.eventually;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.node.Node;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.TargetSettings;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.standins.log.StandinLog;
import org.dogwoodwood.standins.log.StandinLogOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the control planes of nodes with real sockets and the stand-in log. */
class NodeControlTests {

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();

    @AfterEach
    void closeVertx() {
        ControlCluster.await(vertx.close());
    }

    /** Guards against control frames that are not transmitted over real connections. */
    @Test
    void nodesDiscoverEachOtherAndApplyOrders() {
        StandinLog log = ControlCluster.await(StandinLog.start(vertx, StandinLogOptions.onPort(0)));
        Node first = start("one", "north", log.port(), List.of());
        Endpoint seed = Endpoint.of("127.0.0.1", first.peerPort());
        Node second = start("two", "south", log.port(), List.of(seed));
        eventually("both targets are ready", 10_000, () -> count(first, "ready") == 2);
        eventually("both targets are ready", 10_000, () -> count(second, "ready") == 2);

        send(log.port(), "POST", "/control", "{\"down\": true}");
        String body = "{\"state\": \"out\", \"order_id\": \"order-1\"}";
        send(first.adminPort(), "POST", "/data-centres/south", body);
        eventually("the order is known", 2_000, () -> knowsOrder(second, "south"));

        ControlCluster.await(second.stop());
        eventually(
                "the first node no longer counts the stopped node as ready",
                2_000,
                () -> count(first, "ready") == 1);
    }

    /** Guards against a malformed order that is not reported to the operator. */
    @Test
    void malformedOrderIsRefused() {
        StandinLog log = ControlCluster.await(StandinLog.start(vertx, StandinLogOptions.onPort(0)));
        Node node = start("one", "north", log.port(), List.of());
        for (String body : List.of("", "[]", "{\"state\": 3}", "{\"state\": \"out\"}")) {
            HttpResponse<String> answer =
                    exchange(node.adminPort(), "POST", "/data-centres/south", body);
            assertThat(answer.statusCode()).as(body).isEqualTo(400);
        }
    }

    private Node start(String name, String dataCentre, int logPort, List<Endpoint> seeds) {
        TestTarget target = TestTarget.start(vertx);
        return ControlNode.start(
                vertx,
                name,
                dataCentre,
                1,
                new TargetSettings(ControlCluster.SERVICE, target.address(), 6, 40, 2),
                logPort,
                seeds);
    }

    private int count(Node node, String state) {
        return send(node.adminPort(), "GET", "/status", "")
                .getJsonObject("member_counts")
                .getInteger(state, 0);
    }

    private boolean knowsOrder(Node node, String dataCentre) {
        return send(node.adminPort(), "GET", "/status", "").getJsonArray("data_centres").stream()
                .map(JsonObject.class::cast)
                .anyMatch(order -> order.getString("name").equals(dataCentre));
    }

    private JsonObject send(int port, String method, String path, String body) {
        HttpResponse<String> answer = exchange(port, method, path, body);
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
        return new JsonObject(answer.body());
    }

    private HttpResponse<String> exchange(int port, String method, String path, String body) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .orTimeout(5, TimeUnit.SECONDS)
                .join();
    }
}
