package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that fail because a second copy of an earlier answer came in place of
 * their own answer.
 */
class ForeignAnswerFilterTests {

    private static final int MAX_ANSWER_BYTES = 1_024;
    private static final int CONNECTIONS = 2;
    private static final int CALLS = 20;
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int LATE_MILLIS = 5;

    private final Vertx vertx = Vertx.vertx();
    private final Set<NetSocket> connections = new HashSet<>();
    private String earlierAnswer = "";

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    /** When the target sends the second copy of an answer. */
    enum SecondCopy {
        AT_ONCE {
            @Override
            void write(NetSocket socket, Vertx vertx, String answer, String earlierAnswer) {
                socket.write(answer + answer);
            }
        },
        LATE {
            @Override
            void write(NetSocket socket, Vertx vertx, String answer, String earlierAnswer) {
                socket.write(answer);
                vertx.setTimer(LATE_MILLIS, ignored -> socket.write(answer));
            }
        },
        BEFORE_THE_NEXT_ANSWER {
            @Override
            void write(NetSocket socket, Vertx vertx, String answer, String earlierAnswer) {
                socket.write(earlierAnswer + answer);
            }
        };

        abstract void write(NetSocket socket, Vertx vertx, String answer, String earlierAnswer);
    }

    @ParameterizedTest
    @EnumSource
    void eachRequestGetsItsOwnAnswerOnTheSameConnection(SecondCopy copy) {
        TargetClient client = clientOf((socket, request) -> answerTwice(socket, request, copy));
        for (int number = 0; number < CALLS; number++) {
            String id = "call-" + number;
            TargetResult result = send(client, "GET", id);
            assertThat(result.kind()).isEqualTo(TargetResult.Kind.ANSWERED);
            assertThat(bodyOf(result)).isEqualTo(id);
        }
        assertThat(connections).hasSize(1);
    }

    /** An answer to HEAD has a length and no body, so its copy would swallow the next answer. */
    @Test
    void dropsNoAnswerAfterARequestForTheHeadAlone() {
        TargetClient client = clientOf(this::answerTwiceWithoutBodies);
        assertThat(send(client, "HEAD", "call-0").kind()).isEqualTo(TargetResult.Kind.ANSWERED);
        assertThat(send(client, "HEAD", "call-1").kind())
                .isIn(TargetResult.Kind.BROKEN, TargetResult.Kind.CONNECTION_LOST);
    }

    /** Guards against a target that keeps a request waiting by answers to others. */
    @Test
    void closesTheConnectionAfterTooManyForeignAnswers() {
        String foreign =
                answer("another", "another").repeat(2 * ForeignAnswerFilter.MAX_DROPPED_ANSWERS);
        TargetClient client = clientOf((socket, request) -> socket.write(foreign));
        assertThat(send(client, "GET", "call-0").kind()).isEqualTo(TargetResult.Kind.BROKEN);
    }

    private void answerTwice(NetSocket socket, String request, SecondCopy copy) {
        String id = requestIdIn(request);
        String answer = answer(id, id);
        copy.write(socket, vertx, answer, earlierAnswer);
        earlierAnswer = answer;
    }

    private void answerTwiceWithoutBodies(NetSocket socket, String request) {
        String id = requestIdIn(request);
        String answer = answer(id, id);
        String head = answer.substring(0, answer.length() - id.length());
        socket.write(earlierAnswer + head);
        earlierAnswer = head;
    }

    private TargetClient clientOf(TargetHandler handler) {
        NetServer target =
                vertx.createNetServer()
                        .connectHandler(
                                socket -> {
                                    connections.add(socket);
                                    socket.handler(
                                            read -> handler.onRequest(socket, read.toString()));
                                });
        int port = Waiting.get(target.listen(0, "127.0.0.1")).actualPort();
        return TargetClient.create(
                vertx,
                new IdentifyingProtocol(),
                Endpoint.of("127.0.0.1", port),
                CONNECTIONS,
                SentRequests.create(),
                EventLog.create(),
                NodeMetrics.create());
    }

    private TargetResult send(TargetClient client, String method, String id) {
        Promise<TargetResult> result = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(
                        ignored ->
                                client.send(
                                        frame(method, id),
                                        List.of(),
                                        MAX_ANSWER_BYTES,
                                        TIMEOUT_MILLIS,
                                        result::complete));
        return Waiting.get(result.future());
    }

    private static String bodyOf(TargetResult result) {
        return new String(result.finished().answer().orElseThrow().body(), StandardCharsets.UTF_8);
    }

    private static String requestIdIn(String request) {
        int start = request.indexOf(REQUEST_ID + ": ") + REQUEST_ID.length() + 2;
        return request.substring(start, request.indexOf('\r', start));
    }

    private static String answer(String id, String body) {
        return String.format(
                "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
                REQUEST_ID, id, body.length(), body);
    }

    private static CallFrame frame(String method, String id) {
        return new CallFrame(
                AttemptId.of(CallId.of(NodeId.of("n"), 1, id.hashCode()), 0),
                1,
                "shop",
                "default",
                RequestContent.of(
                        method, "/", List.of(HeaderField.of(REQUEST_ID, id)), new byte[0]),
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS,
                true,
                Optional.empty(),
                0,
                0,
                true);
    }

    /** Plays the target. */
    private interface TargetHandler {

        void onRequest(NetSocket socket, String request);
    }
}
