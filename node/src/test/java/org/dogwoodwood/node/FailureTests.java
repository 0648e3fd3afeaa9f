package org.dogwoodwood.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestProxy;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that are lost, run twice or reported wrongly when components fail. */
class FailureTests {

    private final TestInstallation installation = new TestInstallation();

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void resumesACallWhoseConnectionGoesSilent() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        TestProxy proxy = TestProxy.start(installation.vertx(), guard.peerAddress());
        installation.setRoutes(guard, proxy.address());
        target.setSlowMillis(300);
        CompletableFuture<HttpResponse<String>> early = postSlow(ingress);
        Waiting.until("the call has started at the target", () -> target.started() == 1);

        proxy.blackholeConnections();
        HttpResponse<String> answer = early.join();

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo("slow");
        assertThat(target.started()).isEqualTo(1);
    }

    /**
     * Guards against a target that keeps working for a caller that disconnected while the peer
     * connection was silent, so that the cancellation was lost.
     */
    @Test
    void cancelsACallOverANewConnectionWhenTheOldOneIsSilent() throws IOException {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        TestProxy proxy = TestProxy.start(installation.vertx(), guard.peerAddress());
        installation.setRoutes(guard, proxy.address());
        try (Socket caller =
                new Socket(InetAddress.getLoopbackAddress(), ingress.node().callerPort())) {
            String fields = "Host: a\r\nDogwoodwood-Timeout-Ms: 60000";
            String request = "GET /services/shop/never HTTP/1.1\r\n" + fields + "\r\n\r\n";
            caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Waiting.until("the call has started at the target", () -> target.started() == 1);
            proxy.blackholeConnections();
        }
        Waiting.until("the request at the target is aborted", () -> target.aborted() == 1);
    }

    @Test
    void resumesACallThatStillRunsAfterTheConnectionWentSilent() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        TestProxy proxy = TestProxy.start(installation.vertx(), guard.peerAddress());
        installation.setRoutes(guard, proxy.address());
        target.setSlowMillis(2_000);
        CompletableFuture<HttpResponse<String>> running = postSlow(ingress);
        Waiting.until("the call has started at the target", () -> target.started() == 1);

        proxy.blackholeConnections();

        assertThat(running.join().statusCode()).isEqualTo(200);
        assertThat(target.started()).isEqualTo(1);
    }

    @Test
    void reportsUnknownWhenTheGuardRestartsDuringANonIdempotentCall() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        target.setSlowMillis(3_000);
        CompletableFuture<HttpResponse<String>> call = postSlow(ingress);
        Waiting.until("the call has started at the target", () -> target.started() == 1);

        int port = guard.node().peerPort();
        Waiting.get(guard.node().kill());
        installation.startGuard("guard", 2, port, target);

        assertUnknown(call.join(), 502, "\"code\":3001");
        assertThat(target.started()).isEqualTo(1);
    }

    @Test
    void retriesAnIdempotentCallAtAnotherTargetWhenItsGuardIsLost() {
        TestTarget first = installation.startTarget();
        TestTarget second = installation.startTarget();
        TestNode one = installation.startGuard("one", first);
        TestNode two = installation.startGuard("two", second);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(one);
        first.setSlowMillis(3_000);
        HttpRequest request =
                TestInstallation.request(ingress, "/slow")
                        .header("Dogwoodwood-Timeout-Ms", "6000")
                        .GET()
                        .build();
        CompletableFuture<HttpResponse<String>> call = send(request);
        Waiting.until("the call has started at the target", () -> first.started() == 1);

        installation.setRoutes(one.route(one.peerAddress()), two.route(two.peerAddress()));
        Waiting.get(one.node().kill());

        assertThat(call.join().statusCode()).isEqualTo(200);
        assertThat(second.started()).isEqualTo(1);
    }

    @Test
    void reportsNotRunWhenNoGuardCanBeReached() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        Waiting.get(guard.node().kill());

        HttpResponse<String> answer = installation.post(ingress, "/echo", "x");

        assertNotRun(answer, 503, "\"code\":2003");
        assertThat(answer.headers().firstValue("Retry-After")).isPresent();
        assertThat(target.started()).isZero();
    }

    @Test
    void reportsNotRunWhenTheGuardHasAnotherIncarnation() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", 1, 0, target);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        int port = guard.node().peerPort();
        Waiting.get(guard.node().kill());
        installation.startGuard("guard", 2, port, target);

        assertNotRun(installation.post(ingress, "/echo", "x"), 503, "\"code\":2008");
        assertThat(target.started()).isZero();
    }

    @Test
    void reportsUnknownWhenTheTargetBreaksOrTruncatesItsAnswer() {
        TestNode node = startRoutedNode(installation.startTarget());

        assertUnknown(installation.post(node, "/break", "x"), 502, "\"code\":3004");
        assertUnknown(installation.post(node, "/truncate", "x"), 502, "\"code\":3004");
    }

    @Test
    void reportsUnknownAndAbortsTheTargetRequestAtTheDeadline() {
        TestTarget target = installation.startTarget();
        TestNode node = startRoutedNode(target);
        HttpRequest request =
                TestInstallation.request(node, "/never")
                        .header("Dogwoodwood-Timeout-Ms", "300")
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build();

        assertUnknown(installation.send(request), 504, "\"code\":3002");
        Waiting.until("the request at the target is aborted", () -> target.aborted() == 1);
    }

    @Test
    void refusesBodiesAboveTheLimits() {
        TestTarget target = installation.startTarget();
        TestNode node = startRoutedNode(target);
        HttpRequest chunked =
                TestInstallation.request(node, "/echo")
                        .POST(
                                HttpRequest.BodyPublishers.fromPublisher(
                                        HttpRequest.BodyPublishers.ofString("a".repeat(3 << 20))))
                        .build();

        assertNotRun(installation.post(node, "/echo", "a".repeat(2 << 20)), 413, "1003");
        assertNotRun(installation.send(chunked), 413, "1003");
        assertThat(target.started()).isZero();
        assertUnknown(installation.post(node, "/big", "x"), 502, "\"code\":3003");
    }

    @Test
    void reportsACrashOfTheTargetAndCallsItAgainAfterItsRestart() {
        TestTarget target = installation.startTarget();
        TestNode node = startRoutedNode(target);
        target.setSlowMillis(5_000);
        CompletableFuture<HttpResponse<String>> call = postSlow(node);
        Waiting.until("the call has started at the target", () -> target.started() == 1);

        target.crash();
        assertUnknown(call.join(), 502, "\"code\":3004");
        Waiting.until("the crash is reported", () -> !node.control().crashes().isEmpty());
        assertThat(node.control().crashes().get(0)).hasSize(1);
        assertThat(node.control().announcements()).contains(TargetState.DOWN);
        assertNotRun(installation.post(node, "/echo", "x"), 503, "\"code\":2003");

        target.setReportedState(true, false);
        target.restart();
        Waiting.until(
                "the target accepts calls again",
                () -> installation.post(node, "/echo", "x").statusCode() == 200);
        assertThat(node.control().announcements()).endsWith(TargetState.COLD);
    }

    /**
     * Guards against a call that is lost on an idle connection that the target has closed, because
     * a busy guard has not read the close yet.
     */
    @Test
    void resendsACallIfTheTargetHadClosedTheIdleConnection() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        assertThat(postSlow(ingress).join().statusCode()).isEqualTo(200);
        guard.control().blockLoop();
        CompletableFuture<HttpResponse<String>> call = postSlow(ingress);
        Waiting.until(
                "the call is sent to the guard",
                () -> ingress.node().metrics().prometheusText().contains("attempts_total 2"));
        target.closeConnections();
        Waiting.sleep(50);
        guard.control().releaseLoop();

        assertThat(call.join().statusCode()).isEqualTo(200);
    }

    @Test
    void detectsARestartBetweenTwoPolls() {
        TestTarget target = installation.startTarget();
        TestNode node = startRoutedNode(target);
        target.crash();
        target.restart();
        Waiting.until(
                "the guard has detected the new incarnation",
                () -> node.control().announcements().contains(TargetState.DOWN));
        Waiting.until(
                "the target accepts calls again",
                () -> installation.post(node, "/echo", "x").statusCode() == 200);
    }

    @Test
    void startsNoCallAtADrainingTarget() {
        TestTarget target = installation.startTarget();
        TestNode node = startRoutedNode(target);
        target.setReportedState(false, true);
        Waiting.until(
                "the guard has detected the draining",
                () -> node.control().announcements().contains(TargetState.DRAINING));

        // The ingress may have received the new state already and then finds no target.
        HttpResponse<String> answer = installation.post(node, "/echo", "x");
        assertThat(answer.body()).containsAnyOf("\"code\":2005", "\"code\":2003");
        assertNotRun(answer, 503, "not-run");
        assertThat(target.started()).isZero();
    }

    private TestNode startRoutedNode(TestTarget target) {
        TestNode node = installation.startGuard("node", target);
        installation.setRoutes(node);
        return node;
    }

    private CompletableFuture<HttpResponse<String>> postSlow(TestNode node) {
        return send(
                TestInstallation.request(node, "/slow")
                        .header("Dogwoodwood-Timeout-Ms", "6000")
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build());
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest request) {
        return installation.caller().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static void assertNotRun(HttpResponse<String> answer, int status, String code) {
        assertThat(answer.body()).contains(code);
        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.headers().firstValue("Dogwoodwood-Outcome")).hasValue("not-run");
    }

    private static void assertUnknown(HttpResponse<String> answer, int status, String code) {
        assertThat(answer.body()).contains(code);
        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(answer.headers().firstValue("Dogwoodwood-Outcome")).hasValue("unknown");
    }
}
