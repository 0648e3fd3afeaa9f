package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REJECTED;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a late second copy of an answer to one attempt of a call that is taken for the
 * answer to its next attempt at the same target. Both have the same request id.
 *
 * <p>If the copy is a rejection, the call is refused as not run although it has run. If it is an
 * error, it hides a success; if it is a success, it hides an error.
 */
class RepeatedAttemptTests {

    private static final int MAX_ANSWER_BYTES = 1_024;
    private static final int CONNECTIONS = 9;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx();
    private final List<String> arrivals = new ArrayList<>();
    private final List<NetSocket> connections = new ArrayList<>();

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    /** How the target answers the first attempt of a call. */
    enum FirstAnswer {
        REJECTION("503 Service Unavailable\r\n" + REJECTED + ": 1", TargetResult.Kind.REFUSED),
        ERROR("500 Internal Server Error", TargetResult.Kind.ANSWERED),
        SUCCESS("200 OK", TargetResult.Kind.ANSWERED);

        private final String head;
        private final TargetResult.Kind kind;

        FirstAnswer(String head, TargetResult.Kind kind) {
            this.head = head;
            this.kind = kind;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aTargetGetsNoSecondAttemptOfACall(FirstAnswer first) {
        NetServer target = vertx.createNetServer().connectHandler(socket -> serve(socket, first));
        int port = Waiting.get(target.listen(0, "127.0.0.1")).actualPort();
        TargetClient client =
                TargetClient.create(
                        vertx,
                        new IdentifyingProtocol(),
                        Endpoint.of("127.0.0.1", port),
                        CONNECTIONS,
                        SentRequests.create(),
                        EventLog.create(),
                        NodeMetrics.create());

        assertThat(send(client, "call-1", 0).kind()).isEqualTo(first.kind);
        FinishedCall second = send(client, "call-1", 1).finished();
        assertThat(second.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(second.error()).contains(ErrorCode.REQUEST_REPEATED);
        assertThat(arrivals).containsExactly("call-1");

        // The connection that was opened for the second attempt is used again.
        assertThat(send(client, "call-2", 0).kind()).isEqualTo(first.kind);
        assertThat(connections).hasSize(1);
    }

    /** Answers each request that arrives. */
    private void serve(NetSocket socket, FirstAnswer first) {
        connections.add(socket);
        socket.handler(
                request -> {
                    String id = requestIdIn(request.toString());
                    arrivals.add(id);
                    socket.write(answer(first.head, id));
                });
    }

    private static String requestIdIn(String request) {
        int start = request.indexOf(REQUEST_ID + ": ") + REQUEST_ID.length() + 2;
        return request.substring(start, request.indexOf('\r', start));
    }

    private static String answer(String head, String id) {
        return "HTTP/1.1 "
                + head
                + "\r\n"
                + REQUEST_ID
                + ": "
                + id
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private TargetResult send(TargetClient client, String id, int attempt) {
        Promise<TargetResult> result = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(
                        ignored ->
                                client.send(
                                        frame(id, attempt),
                                        List.of(),
                                        MAX_ANSWER_BYTES,
                                        TIMEOUT_MILLIS,
                                        result::complete));
        return Waiting.get(result.future());
    }

    private static CallFrame frame(String id, int attempt) {
        return new CallFrame(
                AttemptId.of(CallId.of(NodeId.of("n"), 1, id.hashCode()), attempt),
                1,
                "shop",
                "default",
                RequestContent.of("GET", "/", List.of(HeaderField.of(REQUEST_ID, id)), new byte[0]),
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS,
                true,
                Optional.empty(),
                0,
                0,
                true);
    }
}
