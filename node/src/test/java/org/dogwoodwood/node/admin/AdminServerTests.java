package org.dogwoodwood.node.admin;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Verifies the routes of a node on the admin port, and the dispatch of admin requests. */
class AdminServerTests {

    private final TestInstallation installation = new TestInstallation();

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void servesHealthReadinessAndMetrics() {
        TestNode node = installation.startIngress("node");
        int port = node.node().adminPort();

        assertThat(send(port, "GET", "/health", "").statusCode()).isEqualTo(200);
        assertThat(send(port, "GET", "/ready", "").statusCode()).isEqualTo(503);
        installation.setRoutes(node);
        assertThat(send(port, "GET", "/ready", "").statusCode()).isEqualTo(200);
        assertThat(send(port, "GET", "/metrics", "").body())
                .contains("# TYPE dogwoodwood_attempts_total counter")
                .contains("dogwoodwood_guard_pending_calls 0");
        assertThat(send(port, "GET", "/nothing", "").statusCode()).isEqualTo(404);
        assertThat(send(port, "DELETE", "/health", "").statusCode()).isEqualTo(405);
    }

    @Test
    void acceptsAValidTargetAnnouncementOnly() {
        TestTarget target = installation.startTarget();
        TestNode node = installation.startIngress("node");
        installation.setRoutes(node);
        String body =
                """
                {"service": "shop", "address": "%s", "slots": 4, "connections": 9}
                """
                        .formatted(target.address());

        int port = node.node().adminPort();
        assertThat(send(port, "POST", "/targets", body).statusCode()).isEqualTo(200);
        Waiting.until(
                "the target answers calls",
                () -> installation.post(node, "/echo", "x").statusCode() == 200);
        for (String invalid :
                new String[] {"", "[]", "{\"service\":\"shop\"}", body.replace("4", "0")}) {
            HttpResponse<String> answer = send(port, "POST", "/targets", invalid);
            assertThat(answer.body()).contains("\"code\":1001");
            assertThat(answer.statusCode()).isEqualTo(400);
        }
    }

    @Test
    void passesPathValueAndQueryToHandlersAndMapsTheirFailures() {
        AdminRouter router = AdminRouter.create();
        router.add(
                "POST",
                "/things/{name}",
                request ->
                        Future.succeededFuture(
                                AdminResponse.text(
                                        201,
                                        request.pathValue().orElseThrow()
                                                + request.queryValue("q").orElse("-")
                                                + request.body())));
        router.add(
                "GET",
                "/typed",
                request ->
                        Future.failedFuture(
                                new DogwoodwoodException(ErrorCode.ORDER_REFUSED, "No.")));
        router.add(
                "GET",
                "/broken",
                request -> {
                    throw new IllegalStateException("a fault");
                });
        AdminServer server =
                AdminServer.create(
                        installation.vertx(), router, Optional.empty(), EventLog.create());
        int port = Waiting.get(server.start(Endpoint.of("127.0.0.1", 0)));

        assertThat(send(port, "POST", "/things/a?q=b", "c").body()).isEqualTo("abc");
        assertThat(send(port, "POST", "/things/a/b", "c").statusCode()).isEqualTo(404);
        assertThat(send(port, "POST", "/things/", "c").statusCode()).isEqualTo(404);
        assertThat(send(port, "GET", "/typed", "").body()).contains("\"code\":8004");
        assertThat(send(port, "GET", "/broken", "").statusCode()).isEqualTo(500);
        assertThat(send(port, "POST", "/things/a", "x".repeat(300 << 10)).statusCode())
                .isEqualTo(413);
    }

    private HttpResponse<String> send(int port, String method, String path, String body) {
        return installation.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }
}
