package org.dogwoodwood.node.support;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.settings.Endpoint;

/** The nodes and targets of one test, on ports that the operating system chooses. */
public final class TestInstallation implements AutoCloseable {

    public static final String SERVICE = "shop";

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient caller =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<TestNode> nodes = new ArrayList<>();
    private Optional<String> secret = Optional.empty();
    private long bodyMemoryBytes = 32 << 20;

    public Vertx vertx() {
        return vertx;
    }

    public void setSecret(String value) {
        secret = Optional.of(value);
    }

    /** Sets the memory for bodies of the nodes that are started next. */
    public void setBodyMemoryBytes(long value) {
        bodyMemoryBytes = value;
    }

    public TestTarget startTarget() {
        return TestTarget.start(vertx);
    }

    /** Starts a node without a target. */
    public TestNode startIngress(String name) {
        return add(TestNode.start(vertx, name, 1, 0, Optional.empty(), secret, bodyMemoryBytes));
    }

    /** Starts a node beside a target and waits until its guard has polled the target. */
    public TestNode startGuard(String name, TestTarget target) {
        return startGuard(name, 1, 0, target);
    }

    public TestNode startGuard(String name, long incarnation, int peerPort, TestTarget target) {
        TestNode node =
                TestNode.start(
                        vertx,
                        name,
                        incarnation,
                        peerPort,
                        Optional.of(target),
                        secret,
                        bodyMemoryBytes);
        add(node);
        // The guard polls its target even before it has a lease, although it starts no calls yet.
        Waiting.until(
                "the guard has polled its target",
                () -> node.control().announcements().stream().anyMatch(s -> s.acceptsWork()));
        return node;
    }

    /** Replaces the routing table of all nodes by one with the given targets. */
    public void setRoutes(RouteTarget... targets) {
        RoutingTable table = table(targets);
        nodes.forEach(node -> node.control().setRoutingTable(table));
    }

    public void setRoutes(TestNode node, Endpoint through) {
        setRoutes(node.route(through));
    }

    public void setRoutes(TestNode node) {
        setRoutes(node, node.peerAddress());
    }

    public static RoutingTable table(RouteTarget... targets) {
        ServiceDefinition service =
                new ServiceDefinition(
                        SERVICE,
                        List.of("shop.example"),
                        "default",
                        List.of("north"),
                        List.of(),
                        2_000,
                        ServiceDefinition.IDEMPOTENT_METHODS,
                        120,
                        1 << 20,
                        4 << 20);
        Configuration configuration =
                new Configuration(
                        1,
                        Map.of(SERVICE, service),
                        Map.of(),
                        Map.of(),
                        Map.of("default", PolicyDefinition.withDefaults("default")));
        return new RoutingTable(
                configuration,
                RoutingTable.groupByService(List.of(targets)),
                Long.MAX_VALUE,
                false);
    }

    public static HttpRequest.Builder request(TestNode node, String path) {
        URI uri =
                URI.create(
                        "http://127.0.0.1:"
                                + node.node().callerPort()
                                + "/services/"
                                + SERVICE
                                + path);
        return HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(8));
    }

    public HttpResponse<String> get(TestNode node, String path) {
        return send(request(node, path).GET().build());
    }

    public HttpResponse<String> post(TestNode node, String path, String body) {
        return send(request(node, path).POST(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    public HttpResponse<String> send(HttpRequest request) {
        try {
            return caller.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    public HttpClient caller() {
        return caller;
    }

    @Override
    public void close() {
        Waiting.get(vertx.close());
    }

    private TestNode add(TestNode node) {
        nodes.add(node);
        return node;
    }
}
