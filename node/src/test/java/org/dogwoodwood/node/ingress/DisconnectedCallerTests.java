package org.dogwoodwood.node.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests reaching a target although their caller disconnected while a node was
 * busy.
 */
class DisconnectedCallerTests {

    // Long enough that no deadline passes during a test, also on a slow computer.
    private static final String HEAD =
            " /services/shop/never HTTP/1.1\r\nHost: a\r\nDogwoodwood-Timeout-Ms: 30000\r\n";
    private static final String GET = "GET" + HEAD + "\r\n";
    private static final String POST = "POST" + HEAD + "Content-Length: 4\r\n\r\nbody";
    private static final String CHUNKED =
            "POST" + HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    // The initial limit of concurrent calls that a guard starts at a new target.
    private static final int INITIAL_LIMIT = 8;
    private static final List<String> REQUESTS = List.of(GET, POST, CHUNKED, GET + GET, POST + GET);

    private final TestInstallation installation = new TestInstallation();
    private TestTarget target;
    private TestNode guard;
    private TestNode ingress;

    @BeforeEach
    void start() {
        target = installation.startTarget();
        target.setSlowMillis(1);
        guard = installation.startGuard("guard", target);
        ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        assertServes(ingress);
    }

    @AfterEach
    void close() {
        guard.control().releaseLoop();
        ingress.control().releaseLoop();
        installation.close();
    }

    /**
     * Guards against forwarding a request when the close of its connection is next in the socket.
     */
    @Test
    void forwardsNoRequestWhoseCallerClosedWhileIngressWasBusy() throws IOException {
        ingress.control().blockLoop();
        for (String request : REQUESTS) {
            try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
                caller.send(request);
            }
        }
        ingress.control().releaseLoop();

        assertNoRequestWasForwarded(ingress);
    }

    /** Guards against the same when a connection that was in use before is reset. */
    @Test
    void forwardsNoRequestWhoseCallerResetWhileIngressWasBusy() throws IOException {
        target.setSlowMillis(1_000);
        RawCaller caller = new RawCaller(ingress.node().callerPort());
        caller.send("GET /services/shop/slow HTTP/1.1\r\nHost: a\r\n\r\n");
        Waiting.until("the first request runs", () -> target.started() == 2);
        ingress.control().blockLoop();
        caller.send(GET);
        caller.send(POST);
        caller.reset();
        ingress.control().releaseLoop();

        assertNoRequestWasForwarded(ingress);
    }

    /** Guards against the same on a node that is both ingress and guard. */
    @Test
    void startsNoRequestOfDisconnectedCallerAtOwnTarget() throws IOException {
        assertServes(guard);
        guard.control().blockLoop();
        for (String request : REQUESTS) {
            try (RawCaller caller = new RawCaller(guard.node().callerPort())) {
                caller.send(request);
            }
        }
        guard.control().releaseLoop();

        assertNoRequestWasForwarded(guard);
    }

    /** Guards against starting a call when its cancellation is next in the peer's socket. */
    @Test
    void startsNoCallCancelledWhileGuardWasBusy() throws IOException {
        guard.control().blockLoop();
        for (String request : List.of(GET, POST)) {
            RawCaller caller = new RawCaller(ingress.node().callerPort());
            caller.send(request);
            awaitMetric(ingress, "dogwoodwood_ingress_pending_requests 1");
            caller.close();
            awaitMetric(ingress, "dogwoodwood_ingress_pending_requests 0");
        }
        awaitMetric(ingress, "dogwoodwood_cancelled_calls_total 2");
        guard.control().releaseLoop();

        assertNoRequestWasForwarded(ingress);
    }

    /**
     * Guards against a queued call taking a slot that became free while its cancellation was
     * unread.
     */
    @Test
    void startsNoQueuedCallCancelledWhileGuardWasBusy() throws IOException {
        List<CompletableFuture<HttpResponse<String>>> held =
                IntStream.range(0, INITIAL_LIMIT).mapToObj(ignored -> sendHeldRequest()).toList();
        awaitMetric(guard, "dogwoodwood_guard_pending_calls " + INITIAL_LIMIT);
        RawCaller queued = new RawCaller(ingress.node().callerPort());
        sendUntilQueued(queued);
        assertThat(target.receivedRequests()).noneMatch(received -> received.contains("/never"));
        guard.control().blockLoop();
        // The answers that free the slots arrive before the cancellation.
        target.answerHeld();
        Waiting.until("the target has answered", () -> target.inFlight() == 0);
        queued.close();
        awaitMetric(ingress, "dogwoodwood_cancelled_calls_total 1");
        guard.control().releaseLoop();

        held.forEach(answer -> assertThat(answer.join().statusCode()).isEqualTo(200));
        assertNoRequestWasForwarded(ingress);
    }

    // A guard refuses some of the calls for which it has no slot instead of queueing them.
    private void sendUntilQueued(RawCaller caller) {
        Waiting.until(
                "a call is queued",
                () -> {
                    caller.send(POST);
                    Waiting.sleep(50);
                    return hasMetric(
                            guard, "dogwoodwood_guard_pending_calls " + (INITIAL_LIMIT + 1));
                });
    }

    private CompletableFuture<HttpResponse<String>> sendHeldRequest() {
        HttpRequest request =
                TestInstallation.request(ingress, "/held")
                        .header("Dogwoodwood-Timeout-Ms", "8000")
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build();
        return installation.caller().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private void assertNoRequestWasForwarded(TestNode node) {
        assertServes(node);
        assertThat(target.receivedRequests()).noneMatch(received -> received.contains("/never"));
    }

    private void assertServes(TestNode node) {
        // The target keeps the connection open, so that the next call reuses it.
        assertThat(installation.post(node, "/slow", "x").statusCode()).isEqualTo(200);
    }

    private static void awaitMetric(TestNode node, String line) {
        Waiting.until(line, () -> hasMetric(node, line));
    }

    private static boolean hasMetric(TestNode node, String line) {
        return node.node().metrics().prometheusText().contains(line);
    }
}
