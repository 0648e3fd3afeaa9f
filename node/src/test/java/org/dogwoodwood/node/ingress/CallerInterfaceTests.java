package org.dogwoodwood.node.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers' requests being parsed, routed, cancelled or answered incorrectly. */
class CallerInterfaceTests {

    private final TestInstallation installation = new TestInstallation();
    private TestTarget target;
    private TestNode ingress;

    @BeforeEach
    void start() {
        target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
    }

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void cancelsCallOfDisconnectedCaller() throws IOException {
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            caller.send("GET /services/shop/never HTTP/1.1\r\nHost: a\r\n\r\n");
            Waiting.until("the call runs", () -> target.started() == 1);
        }
        Waiting.until("the target's exchange is aborted", () -> target.aborted() == 1);
        assertThat(ingress.node().metrics().prometheusText())
                .contains("dogwoodwood_cancelled_calls_total 1");
    }

    /** Guards against a slow answer delaying the work of requests that are pipelined after it. */
    @Test
    void runsPipelinedRequestsConcurrentlyAndAnswersInOrder() throws IOException {
        int requests = 4;
        long startNanos = System.nanoTime();
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            for (int i = 0; i < requests - 1; i++) {
                caller.send("GET /services/shop/slow?" + i + " HTTP/1.1\r\nHost: a\r\n\r\n");
            }
            caller.send("GET /services/shop/echo HTTP/1.1\r\nHost: a\r\n");
            caller.send("Connection: close\r\n\r\n");
            String answers = caller.readAll();

            assertThat(answers.split("HTTP/1.1 200 OK", -1)).hasSize(requests + 1);
            assertThat(answers).endsWith("<closed>");
            assertThat(answers.indexOf("X-Echo")).isGreaterThan(answers.lastIndexOf("slow"));
        }
        // Run one after another, the slow calls take 900 ms.
        assertThat(System.nanoTime() - startNanos).isLessThan(700_000_000L);
        assertThat(target.started()).isEqualTo(requests);
    }

    /** Guards against work for requests whose caller disconnects before they are dispatched. */
    @Test
    void cancelsPipelinedCallsOfDisconnectedCaller() throws IOException {
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            caller.send("GET /services/shop/never?1 HTTP/1.1\r\nHost: a\r\n\r\n");
            caller.send("GET /services/shop/never?2 HTTP/1.1\r\nHost: a\r\n\r\n");
            Waiting.until("both calls run", () -> target.started() == 2);
        }
        Waiting.until("both are aborted", () -> target.aborted() == 2);
    }

    /** Guards against starting a call behind a refusal that closes the connection. */
    @Test
    void startsNoCallBehindARefusalThatClosesTheConnection() throws IOException {
        String unknown = "GET /services/none/echo HTTP/1.1\r\nHost: a\r\n\r\n";
        String post = "POST /services/shop/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n";
        for (int i = 0; i < 10; i++) {
            try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
                caller.send(unknown + post + "x");
                assertThat(caller.readAll()).startsWith("HTTP/1.1 404 ").endsWith("<closed>");
            }
        }
        assertThat(target.started()).isZero();
        assertThat(ingress.node().metrics().prometheusText())
                .contains("dogwoodwood_cancelled_calls_total 0");
    }

    /** Guards against an answer to CONNECT, which has no body, in place of the target's answer. */
    @Test
    void refusesConnect() throws IOException {
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            caller.send("CONNECT /services/shop/echo HTTP/1.1\r\nHost: a\r\n");
            caller.send("Connection: close\r\n\r\n");
            assertThat(caller.readAll()).startsWith("HTTP/1.1 400 ");
        }
        assertThat(target.started()).isZero();
    }

    @Test
    void resolvesServiceByHost() throws IOException {
        for (String host : new String[] {"shop", "shop.internal:80", "SHOP.example"}) {
            try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
                caller.send("GET /echo?h HTTP/1.1\r\nHost: " + host + "\r\n");
                caller.send("Connection: close\r\n\r\n");
                assertThat(caller.readAll()).startsWith("HTTP/1.1 200 ");
            }
        }
        assertThat(target.receivedRequests())
                .hasSize(3)
                .allMatch(received -> received.startsWith("GET /echo?h\n"));
    }

    @Test
    void refusesInvalidHeadersAndUnknownServices() {
        assertRefused(request("/echo").header("Dogwoodwood-Depth", "25"), 508, "1004");
        assertRefused(request("/echo").header("Dogwoodwood-Depth", "x"), 400, "1001");
        assertRefused(request("/echo").header("Dogwoodwood-Timeout-Ms", "0"), 503, "2004");
        assertRefused(request("/echo").header("Dogwoodwood-Timeout-Ms", "soon"), 400, "1001");
        assertRefused(request("/echo").header("Dogwoodwood-Class", "unknown"), 400, "1001");
        assertRefused(request("/echo").header("Idempotency-Key", "k".repeat(300)), 400, "1001");
        assertRefused(request("x"), 404, "1002");
        assertThat(target.started()).isZero();
    }

    @Test
    void servesClearTextHttp2() {
        HttpClient client =
                installation
                        .vertx()
                        .createHttpClient(
                                new HttpClientOptions()
                                        .setProtocolVersion(HttpVersion.HTTP_2)
                                        .setHttp2ClearTextUpgrade(false));
        HttpClientRequest request =
                Waiting.get(
                        client.request(
                                HttpMethod.POST,
                                ingress.node().callerHttp2Port(),
                                "127.0.0.1",
                                "/services/shop/echo"));

        String answer = Waiting.get(request.send(Buffer.buffer("two")).compose(this::describe));

        assertThat(answer).isEqualTo("HTTP_2 200 two");
    }

    @Test
    void refusesHttp1OnThePortForHttp2() throws IOException {
        try (RawCaller caller = new RawCaller(ingress.node().callerHttp2Port())) {
            caller.send("GET /services/shop/echo HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(caller.readAll()).startsWith("HTTP/1.1 400 ").endsWith("<closed>");
        }
    }

    @Test
    void forwardsErrorAnswersOfTheTarget() {
        HttpResponse<String> answer = installation.post(ingress, "/fail", "x");

        assertThat(answer.statusCode()).isEqualTo(500);
        assertThat(answer.body()).isEqualTo("failed");
        assertThat(answer.headers().firstValue("Dogwoodwood-Outcome")).isEmpty();
    }

    private Future<String> describe(HttpClientResponse response) {
        return response.body()
                .map(body -> response.version() + " " + response.statusCode() + " " + body);
    }

    private HttpRequest.Builder request(String path) {
        return TestInstallation.request(ingress, path).GET();
    }

    private void assertRefused(HttpRequest.Builder request, int status, String code) {
        HttpResponse<String> answer = installation.send(request.build());
        assertThat(answer.body()).contains("\"code\":" + code);
        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.headers().firstValue("Dogwoodwood-Outcome")).hasValue("not-run");
    }
}
