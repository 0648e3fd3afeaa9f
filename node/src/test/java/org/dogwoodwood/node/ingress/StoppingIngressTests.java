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

/** Guards against callers that a stopping node leaves without the answer of a call at work. */
class StoppingIngressTests {

    private static final int ROUNDS = 20;
    private static final int CALLERS = 4;

    private final TestInstallation installation = new TestInstallation();
    private TestTarget target;
    private TestNode guard;

    @BeforeEach
    void start() {
        target = installation.target();
        guard = installation.guard("guard", target);
    }

    @AfterEach
    void close() {
        installation.close();
    }

    /** Guards against requests that are passed on after the node has found itself idle. */
    @Test
    void losesNoRequestThatArrivesWhenTheNodeBecomesIdle() {
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            TestNode ingress = installation.ingress("ingress-" + round);
            installation.route(guard);
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
     * Guards against a request that is taken late in a graceful stop and is at work when the stop
     * is over.
     */
    @Test
    void refusesRequestWhoseDeadlineIsAfterTheEndOfTheStop() throws IOException {
        TestNode ingress = installation.ingress("ingress");
        installation.route(guard);
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

    /** Guards against a refusal that closes the connection of calls that have started behind it. */
    @Test
    void answersPipelinedCallsStartedBehindARefusedRequest() throws IOException {
        TestNode ingress = installation.ingress("ingress");
        installation.route(guard);
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

    /** Sends one request a connection until the port is closed; returns how many got an answer. */
    private static int callUntilClosed(TestNode ingress) {
        int answered = 0;
        while (true) {
            try (RawCaller caller = new RawCaller(ingress.node().callerPort())) {
                caller.send(
                        "GET /services/shop/echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                answered += caller.readAll().startsWith("HTTP/1.1 200") ? 1 : 0;
            } catch (IOException | UncheckedIOException e) {
                // The port is closed, or the connection was cut; the target tells which.
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
