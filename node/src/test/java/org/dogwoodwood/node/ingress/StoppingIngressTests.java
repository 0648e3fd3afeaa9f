package org.dogwoodwood.node.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a stopping node dropping the answer of a call in progress. */
class StoppingIngressTests {

    private static final int ROUNDS = 20;
    private static final int CALLERS = 4;

    private final TestInstallation installation = new TestInstallation();
    private TestTarget target;
    private TestNode guard;

    @BeforeEach
    void start() {
        target = installation.startTarget();
        guard = installation.startGuard("guard", target);
    }

    @AfterEach
    void close() {
        installation.close();
    }

    /** Guards against requests being forwarded after the node has determined that it is idle. */
    @Test
    void losesNoRequestThatArrivesWhenTheNodeBecomesIdle() {
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            TestNode ingress = installation.startIngress("ingress-" + round);
            installation.setRoutes(guard);
            List<CompletableFuture<Integer>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(CompletableFuture.supplyAsync(() -> callUntilClosed(ingress)));
            }
            Waiting.sleep(20);
            Waiting.get(ingress.node().stop());
            answered += callers.stream().mapToInt(CompletableFuture::join).sum();
        }

        assertThat(answered).isPositive();
        Waiting.sleep(200);
        assertThat(target.started()).isEqualTo(answered);
    }

    /**
     * Guards against a request that is accepted late in a graceful stop and is still running when
     * the stop ends.
     */
    @Test
    void refusesRequestWhoseDeadlineIsAfterTheEndOfTheStop() throws IOException {
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        target.setSlowMillis(4_000);
        try (RawCaller first = new RawCaller(ingress.node().callerPort());
                RawCaller second = new RawCaller(ingress.node().callerPort())) {
            first.send(get("/slow", 6_000));
            Waiting.until("the first call runs", () -> target.started() == 1);
            final Future<Void> stopped = ingress.node().stop();
            Waiting.sleep(2_000);

            second.send(get("/slow", 6_000));

            assertThat(second.readAll()).startsWith("HTTP/1.1 503").contains("not-run");
            assertThat(first.readAll()).startsWith("HTTP/1.1 200").endsWith("slow<closed>");
            Waiting.get(stopped);
        }
        assertThat(target.started()).isEqualTo(1);
    }

    /** Guards against a refusal closing the connection of pipelined calls that started after it. */
    @Test
    void answersPipelinedCallsStartedBehindARefusedRequest() throws IOException {
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        target.setSlowMillis(5_000);
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            caller.send(get("/slow?1", 8_000));
            caller.send(
                    "POST /services/shop/echo HTTP/1.1\r\nHost: a\r\n"
                            + "Dogwoodwood-Timeout-Ms: 8000\r\nContent-Length: 1\r\n\r\nx");
            caller.send(get("/slow?2", 8_000));
            Waiting.until("both calls run", () -> target.started() == 2);
            final Future<Void> stopped = ingress.node().stop();
            Waiting.sleep(3_500);

            String answers = caller.readAll();

            assertThat(answers.split("HTTP/1.1 200 OK", -1)).hasSize(3);
            assertThat(answers).contains("HTTP/1.1 503").endsWith("slow<closed>");
            Waiting.get(stopped);
        }
        assertThat(target.started()).isEqualTo(2);
    }

    /**
     * Guards against a request running although an earlier answer has told its caller to send it
     * again on another connection.
     */
    @Test
    void announcesTheCloseWithTheLastAnswerOfAPipeline() throws IOException {
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        String post = "POST /services/shop/echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n";
        try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
            caller.send(get("/slow", 6_000));
            caller.send(post + "x" + post + "y");
            Waiting.until("the first call runs", () -> target.started() == 1);
            final Future<Void> stopped = ingress.node().stop();

            String answers = caller.readAll();

            assertThat(answers.split("HTTP/1.1 200 OK", -1)).hasSize(4);
            assertThat(answers.split("Connection: close", -1)).hasSize(2);
            assertThat(answers.indexOf("Connection: close")).isGreaterThan(answers.indexOf("x"));
            Waiting.get(stopped);
        }
    }

    /** Sends one request per connection until the port is closed; returns the number of answers. */
    private static int callUntilClosed(TestNode ingress) {
        int answered = 0;
        while (true) {
            try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
                caller.send(
                        "GET /services/shop/echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                answered += caller.readAll().startsWith("HTTP/1.1 200") ? 1 : 0;
            } catch (IOException | UncheckedIOException e) {
                // Either the port is closed or the connection was cut; the target's call count
                // shows which.
                return answered;
            }
        }
    }

    private static String get(String path, int timeoutMillis) {
        return "GET /services/shop"
                + path
                + " HTTP/1.1\r\nHost: a\r\nDogwoodwood-Timeout-Ms: "
                + timeoutMillis
                + "\r\n\r\n";
    }
}
