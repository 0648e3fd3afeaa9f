package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.control.ControlCluster.eventually;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.codec.log.ConfigurationRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.DataCentreDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.node.Node;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.TargetSettings;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.standins.log.StandinLog;
import org.dogwoodwood.standins.log.StandinLogOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against a second execution of a call that its caller repeats with the same key. */
class KeyedCallTests {

    private static final int KEYS = 24;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Node> nodes = new ArrayList<>();
    private final List<TestTarget> targets = new ArrayList<>();
    private StandinLog log;
    private int executionsBefore;
    private int probes;

    @AfterEach
    void closeVertx() {
        ControlCluster.await(vertx.close());
    }

    @Test
    void repeatedKeyRunsOnceAtWhicheverNodeItArrives() {
        startAll();
        List<String> first = postAll(nodes.get(0));
        List<String> second = postAll(nodes.get(1));
        List<String> third = postAll(nodes.get(2));

        assertThat(second).isEqualTo(first);
        assertThat(third).isEqualTo(first);
        assertThat(executions()).isEqualTo(KEYS);
    }

    // Known failure; see KNOWN-RED.txt.
    @Tag("known-red")
    @Test
    void keysMoveWithADataCentreThatIsTakenOut() {
        startAll();
        List<String> before = postAll(nodes.get(0));
        send(
                nodes.get(0).adminPort(),
                "POST",
                "/data-centres/east",
                "{\"state\": \"out\", \"order_id\": \"order-1\"}",
                Map.of());

        eventually("all keys have an owner", 8_000, () -> allAnswered(nodes.get(1)));
        assertThat(postAll(nodes.get(1))).isEqualTo(before);
        assertThat(executions()).isEqualTo(KEYS);
    }

    @Test
    void keysAreHandedOverByANodeThatStops() {
        startAll();
        List<String> before = postAll(nodes.get(0));
        ControlCluster.await(nodes.get(2).stop());

        eventually("all keys have an owner", 8_000, () -> allAnswered(nodes.get(1)));
        assertThat(postAll(nodes.get(1))).isEqualTo(before);
        assertThat(executions()).isEqualTo(KEYS);
    }

    private void startAll() {
        log = ControlCluster.await(StandinLog.start(vertx, StandinLogOptions.onPort(0)));
        publish();
        start("one", "north", List.of());
        Endpoint seed = Endpoint.of("127.0.0.1", nodes.get(0).peerPort());
        start("two", "south", List.of(seed));
        start("three", "east", List.of(seed));
        for (Node node : nodes) {
            eventually("each node has owners for new keys", 20_000, () -> canRunNewKeys(node));
        }
        executionsBefore = started();
    }

    /** Sends calls with new keys, enough that every member owns some of them. */
    private boolean canRunNewKeys(Node node) {
        probes++;
        for (int number = 0; number < KEYS; number++) {
            if (post(node, "probe-" + probes + "-" + number).statusCode() != 200) {
                return false;
            }
        }
        return true;
    }

    private boolean allAnswered(Node node) {
        for (int number = 0; number < KEYS; number++) {
            if (post(node, "key-" + number).statusCode() != 200) {
                return false;
            }
        }
        return true;
    }

    private List<String> postAll(Node node) {
        List<String> answers = new ArrayList<>();
        for (int number = 0; number < KEYS; number++) {
            HttpResponse<String> answer = post(node, "key-" + number);
            assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
            answers.add(answer.body());
        }
        return answers;
    }

    private HttpResponse<String> post(Node node, String key) {
        String path = "/services/" + ControlCluster.SERVICE + "/echo";
        return send(
                node.callerPort(), "POST", path, "deposit " + key, Map.of("Idempotency-Key", key));
    }

    private int executions() {
        return started() - executionsBefore;
    }

    private int started() {
        return targets.stream().mapToInt(TestTarget::started).sum();
    }

    private void publish() {
        Configuration configuration =
                new Configuration(
                        0,
                        Map.of(ControlCluster.SERVICE, service()),
                        Map.of(
                                "north", new DataCentreDefinition("north", "coast"),
                                "south", new DataCentreDefinition("south", "coast"),
                                "east", new DataCentreDefinition("east", "coast")),
                        Map.of(),
                        Map.of("standard", PolicyDefinition.withDefaults("standard")));
        byte[] content =
                LogRecordCodec.encode(
                        new ConfigurationRecord(
                                "p1", 0, ConfigurationJsonCodec.encode(configuration)));
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://127.0.0.1:"
                                                + log.port()
                                                + "/v1/streams/configuration/records"))
                        .header("Publication-Id", "p1")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(content))
                        .build();
        assertThat(exchange(request).statusCode()).isEqualTo(201);
    }

    private static ServiceDefinition service() {
        return new ServiceDefinition(
                ControlCluster.SERVICE,
                List.of(),
                "standard",
                List.of("north", "south", "east"),
                List.of(),
                ServiceDefinition.DEFAULT_TIMEOUT_MILLIS,
                ServiceDefinition.IDEMPOTENT_METHODS,
                ServiceDefinition.DEFAULT_KEY_WINDOW_SECONDS,
                ServiceDefinition.DEFAULT_MAX_REQUEST_BYTES,
                ServiceDefinition.DEFAULT_MAX_ANSWER_BYTES);
    }

    private void start(String name, String dataCentre, List<Endpoint> seeds) {
        TestTarget target = TestTarget.start(vertx);
        Node node =
                ControlNode.start(
                        vertx,
                        name,
                        dataCentre,
                        System.currentTimeMillis(),
                        new TargetSettings(ControlCluster.SERVICE, target.address(), 18, 240, 2),
                        log.port(),
                        seeds);
        nodes.add(node);
        targets.add(target);
    }

    private HttpResponse<String> send(
            int port, String method, String path, String body, Map<String, String> headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return exchange(request.build());
    }

    private HttpResponse<String> exchange(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .orTimeout(5, TimeUnit.SECONDS)
                .join();
    }
}
