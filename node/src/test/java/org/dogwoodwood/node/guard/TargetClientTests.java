package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a full target, which closes connections, being treated as unreachable. */
class TargetClientTests {

    private static final int CALLS = 50;
    private static final int MAX_ANSWER_BYTES = 1_024;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    @Test
    void distinguishesClosedConnectionFromFailedConnect() {
        NetServer full = vertx.createNetServer().connectHandler(socket -> socket.close());
        int port = Waiting.get(full.listen(0, "127.0.0.1")).actualPort();
        TargetClient client = client(port);
        for (int call = 0; call < CALLS; call++) {
            assertThat(send(client, call).kind())
                    .isIn(TargetResult.Kind.CONNECTION_LOST, TargetResult.Kind.BROKEN);
        }

        Waiting.get(full.close());
        assertThat(send(client(port), CALLS).kind()).isEqualTo(TargetResult.Kind.CONNECT_FAILED);
    }

    /** Guards against a health check that an answer with an impossible status passes. */
    @ParameterizedTest
    @ValueSource(strings = {"200", "000", "0200", "+200", "2x0", "600", "101"})
    void healthCheckAcceptsNoStatusThatHttpDoesNotHave(String status) {
        String answer = "HTTP/1.1 " + status + " OK\r\nContent-Length: 0\r\n\r\n";
        NetServer target =
                vertx.createNetServer()
                        .connectHandler(socket -> socket.handler(bytes -> socket.write(answer)));
        TargetClient client = client(Waiting.get(target.listen(0, "127.0.0.1")).actualPort());

        Future<PollAnswer> poll = client.poll("/health");

        Waiting.until("the poll has ended", poll::isComplete);
        assertThat(poll.succeeded()).isEqualTo(status.equals("200"));
    }

    private TargetClient client(int port) {
        return TargetClient.create(
                vertx,
                new SelfAnnouncingProtocol(),
                Endpoint.of("127.0.0.1", port),
                9,
                SentRequests.create(),
                EventLog.create(),
                NodeMetrics.create());
    }

    private TargetResult send(TargetClient client, int number) {
        Promise<TargetResult> result = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(
                        ignored ->
                                client.send(
                                        frame(number),
                                        List.of(),
                                        MAX_ANSWER_BYTES,
                                        TIMEOUT_MILLIS,
                                        result::complete));
        return Waiting.get(result.future());
    }

    private static CallFrame frame(int number) {
        return new CallFrame(
                AttemptId.of(CallId.of(NodeId.of("n"), 1, number), 0),
                1,
                "shop",
                "default",
                RequestContent.of("GET", "/", List.of(), new byte[0]),
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS,
                true,
                Optional.empty(),
                0,
                0,
                true);
    }
}
