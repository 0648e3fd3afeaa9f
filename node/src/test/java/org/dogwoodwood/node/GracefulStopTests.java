package org.dogwoodwood.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against calls that are lost during a graceful stop. */
class GracefulStopTests {

    private static final int CALLS = 300;

    private final TestInstallation installation = new TestInstallation();

    @AfterEach
    void close() {
        installation.close();
    }

    // Known failure; see KNOWN-RED.txt.
    @Tag("known-red")
    @Test
    void losesNoCallWhileAGuardStops() {
        TestTarget first = installation.startTarget();
        TestTarget second = installation.startTarget();
        TestNode one = installation.startGuard("one", first);
        TestNode two = installation.startGuard("two", second);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(one.route(one.peerAddress()), two.route(two.peerAddress()));

        // About 4 calls in flight, within the capacity of one cold target with 8 slots.
        first.setSlowMillis(15);
        second.setSlowMillis(15);

        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        Future<Void> stopped = Future.succeededFuture();
        for (int i = 0; i < CALLS; i++) {
            calls.add(send(ingress, "/slow"));
            if (i == CALLS / 3) {
                stopped = one.node().stop();
            }
            if (i == CALLS * 2 / 3) {
                // The control plane removes the leaving node from the routes only now.
                installation.setRoutes(two);
            }
            Waiting.sleep(3);
        }
        Waiting.get(stopped);

        assertThat(calls.stream().map(call -> call.join().body())).containsOnly("slow");
        assertThat(one.control().isLeaving()).isTrue();
        assertThat(first.started()).isPositive();
        assertThat(first.started() + second.started()).isEqualTo(CALLS);
    }

    @Test
    void finishesTheRequestsOfCallersBeforeTheIngressCloses() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        target.setSlowMillis(1_000);
        CompletableFuture<HttpResponse<String>> call = send(ingress, "/slow");
        Waiting.until("the call has started at the target", () -> target.started() == 1);

        Waiting.get(ingress.node().stop());

        assertThat(call.join().statusCode()).isEqualTo(200);
    }

    /**
     * Guards against requests that are cut off because callers keep sending to a stopping node
     * until it closes its port.
     */
    @Test
    void refusesNewRequestsShortlyBeforeTheEnd() {
        TestTarget target = installation.startTarget();
        TestNode guard = installation.startGuard("guard", target);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        target.setSlowMillis(200);
        send(ingress, "/slow").join();

        Future<Void> stopped = ingress.node().stop();
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        while (calls.stream().noneMatch(GracefulStopTests::isRefused)) {
            // Keeps requests in flight at all times, so that the node never becomes idle.
            calls.add(send(ingress, "/slow"));
            Waiting.sleep(30);
        }
        Waiting.get(stopped);

        assertThat(calls.stream().map(call -> call.join().statusCode())).containsOnly(200, 503);
    }

    private static boolean isRefused(CompletableFuture<HttpResponse<String>> call) {
        return call.isDone() && call.join().statusCode() == 503;
    }

    private CompletableFuture<HttpResponse<String>> send(TestNode ingress, String path) {
        HttpRequest request =
                TestInstallation.request(ingress, path)
                        .header("Dogwoodwood-Timeout-Ms", "5000")
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build();
        return installation.caller().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }
}
