package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.node.support.ScriptedTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that are lost by calls that were never written. */
class UnusedConnectionTests {

    private static final int REPEATS = 30;

    private final Vertx vertx = Vertx.vertx();
    private ScriptedTarget target;
    private TargetCalls calls;

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
        target.close();
    }

    private void start() {
        target =
                ScriptedTarget.start(
                        lines -> {
                            String id =
                                    lines.stream()
                                            .filter(line -> line.startsWith(REQUEST_ID))
                                            .findFirst()
                                            .get();
                            return List.of(
                                    "HTTP/1.1 200 OK\r\n" + id + "\r\nContent-Length: 0\r\n\r\n");
                        });
        calls = TargetCalls.to(target.address(), vertx);
    }

    /** Guards against a pool that runs out by repeated requests, of which none is written. */
    @Test
    void repeatedRequestsGiveTheirConnectionsBack() {
        start();
        calls.send("GET", "first");
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            assertThat(TargetCalls.describe(calls.send("GET", "first")))
                    .isEqualTo("REQUEST_REPEATED");
        }
        assertThat(TargetCalls.describe(calls.send("GET", "second"))).isEqualTo("200 ");
        assertThat(target.connections()).isEqualTo(1);
    }

    /** Guards against calls that get no connection beside repeated requests. */
    @Test
    void manyRepeatedRequestsAtOnceGiveTheirConnectionsBack() {
        start();
        calls.send("GET", "first");
        List<Future<TargetResult>> results = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            results.add(calls.start("GET", repeat % 2 == 0 ? "first" : "c" + repeat, new byte[0]));
        }
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            assertThat(TargetCalls.describe(Waiting.get(results.get(repeat))))
                    .isEqualTo(repeat % 2 == 0 ? "REQUEST_REPEATED" : "200 ");
        }
        assertThat(TargetCalls.describe(calls.send("GET", "second"))).isEqualTo("200 ");
    }
}
