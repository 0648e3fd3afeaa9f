package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls that start although the guard's state forbids it. */
class GuardStartChecksTests {

    private final TestInstallation installation = new TestInstallation();
    private TestTarget target;
    private TestNode guard;
    private TestNode ingress;

    @BeforeEach
    void start() {
        target = installation.startTarget();
        guard = installation.startGuard("guard", target);
        ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
    }

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void refusesCallsAfterItsLeaseHasLapsed() {
        setGuardRouting(System.nanoTime() - 1, false);
        assertNotRun("2007");
        setGuardRouting(System.nanoTime() + 60_000_000_000L, false);
        assertThat(installation.post(ingress, "/echo", "x").statusCode()).isEqualTo(200);
    }

    @Test
    void refusesCallsWhileItsDataCentreIsOut() {
        setGuardRouting(Long.MAX_VALUE, true);
        assertNotRun("2006");
    }

    @Test
    void rechecksQueuedCallsBeforeTheyStart() {
        target.setSlowMillis(60);
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            calls.add(sendSlow());
        }
        Waiting.until("calls run", () -> target.started() >= 8);
        setGuardRouting(Long.MAX_VALUE, true);
        int startedBefore = target.started();

        long answered = 0;
        for (CompletableFuture<HttpResponse<String>> call : calls) {
            HttpResponse<String> answer = call.join();
            if (answer.statusCode() == 200) {
                answered++;
            } else {
                assertThat(answer.headers().firstValue("Dogwoodwood-Outcome")).hasValue("not-run");
            }
        }
        // One call may already be on the way to the target when the test changes the table.
        assertThat(target.started()).isBetween(startedBefore, startedBefore + 1);
        assertThat(answered).isEqualTo(target.started());
    }

    @Test
    void neverExceedsTheSlotsOfAColdTarget() {
        target.setSlowMillis(20);
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            calls.add(sendSlow());
        }
        calls.forEach(CompletableFuture::join);

        assertThat(target.maxInFlight()).isBetween(1, 18);
    }

    private CompletableFuture<HttpResponse<String>> sendSlow() {
        HttpRequest request =
                TestInstallation.request(ingress, "/slow")
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build();
        return installation.caller().sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Changes only the routing table of the guard; the ingress keeps its own. */
    private void setGuardRouting(long leaseExpiryNanos, boolean out) {
        RouteTarget route = guard.route(guard.peerAddress());
        RoutingTable table = TestInstallation.table(route);
        guard.control()
                .setRoutingTable(
                        new RoutingTable(
                                table.configuration(),
                                table.targetsByService(),
                                leaseExpiryNanos,
                                out));
    }

    private void assertNotRun(String code) {
        HttpResponse<String> answer = installation.post(ingress, "/echo", "x");
        assertThat(answer.body()).contains("\"code\":" + code);
        assertThat(answer.headers().firstValue("Dogwoodwood-Outcome")).hasValue("not-run");
        assertThat(target.started()).isZero();
    }
}
