package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.Waiting;
import org.dogwoodwood.standins.endless.EndlessServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against faults when a target sends an answer without end: calls that outlive their
 * deadline, unbounded memory, connections that stay open, and refusals reported as unknown
 * outcomes.
 */
class EndlessAnswerTests {

    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final int POLL_MILLIS = 1_000;
    private static final long MAX_SENT_BYTES = 24L << 20;

    // Allowance for a build on a machine with busy processors.
    private static final int SLACK_MILLIS = 1_500;

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "1000\r\n" + "x".repeat(0x1000) + "\r\n";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Unavailable\r\n" + SelfAnnouncingProtocol.RESPONSE_TYPE + ": NOT_RUN\r\n";
    private static final String FOREIGN =
            OK + SelfAnnouncingProtocol.RESPONSE_TYPE + ": FOREIGN\r\n";

    /** Endless data that the target sends in place of an answer. */
    enum Fault {
        STATUS_LINE("HTTP/1.1 200 ", "long", ErrorCode.TARGET_FAILED),
        INVALID_HEAD("", "\u0001\u0002nothing", ErrorCode.TARGET_FAILED),
        LINE_ENDS("", "\r\n".repeat(0x1000), ErrorCode.TARGET_FAILED),
        HEADER_LINES(OK, "X-Field: value\r\n", ErrorCode.TARGET_FAILED),
        HEADER_LINE(OK + "X-Field: ", "value", ErrorCode.TARGET_FAILED),
        INTERIM_ANSWERS("", "HTTP/1.1 100 Continue\r\n\r\n", ErrorCode.TARGET_FAILED),
        EARLY_HINTS("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", ErrorCode.TARGET_FAILED),
        PROCESSING("", "HTTP/1.1 102 Processing\r\n\r\n", ErrorCode.TARGET_FAILED),
        CHUNK_SIZE(OK + CHUNKED, "0", ErrorCode.TARGET_FAILED),
        CHUNK_EXTENSION(OK + CHUNKED + "1;", "extension", ErrorCode.TARGET_FAILED),
        TRAILERS(OK + CHUNKED + "0\r\n", "X-Field: value\r\n", ErrorCode.TARGET_FAILED),
        CHUNKED_BODY(OK + CHUNKED, CHUNK, ErrorCode.ANSWER_TOO_LARGE),
        BODY_WITHOUT_LENGTH(OK + "\r\n", CHUNK, ErrorCode.ANSWER_TOO_LARGE),
        BODY_OF_FOREIGN_ANSWER(FOREIGN + CHUNKED, CHUNK, ErrorCode.TARGET_FAILED),
        BODY_OF_REFUSAL(NOT_RUN + CHUNKED, CHUNK, ErrorCode.TARGET_REFUSED),
        TRAILERS_OF_REFUSAL(NOT_RUN + CHUNKED + "0\r\n", "X: y\r\n", ErrorCode.TARGET_REFUSED);

        private final String beginning;
        private final String part;
        private final ErrorCode error;

        Fault(String beginning, String part, ErrorCode error) {
            this.beginning = beginning;
            this.part = part;
            this.error = error;
        }

        boolean isRefusal() {
            return error == ErrorCode.TARGET_REFUSED;
        }

        EndlessServer start(Vertx vertx, int pauseMillis) {
            return Waiting.get(EndlessServer.start(vertx, beginning, part, pauseMillis));
        }
    }

    /** Endless data that the target sends after a complete answer. */
    enum Surplus {
        ANSWERS("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"),
        BYTES("surplus"),
        LINE_ENDS("\r\n"),
        LONG_HEAD("HTTP/1.1 200 OK\r\nX: " + "y".repeat(0x1000) + "\r\n");

        private final String part;

        Surplus(String part) {
            this.part = part;
        }
    }

    private final Vertx vertx = Vertx.vertx();
    private EndlessServer server;
    private TargetClient client;
    private int calls;

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void endsCallOnFastEndlessAnswer(Fault fault) {
        connectTo(fault.start(vertx, 0));
        FinishedCall finished = get(send("/call"), DEADLINE_MILLIS);

        assertThat(finished.error()).contains(fault.error);
        assertClosed();
        assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void endsCallOnSlowEndlessAnswer(Fault fault) {
        connectTo(fault.start(vertx, 50));
        FinishedCall finished = get(send("/call"), DEADLINE_MILLIS);

        Outcome expected = fault.isRefusal() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        assertThat(finished.outcome()).isEqualTo(expected);
        assertClosed();
    }

    /** Guards against a refusal that is delayed until the deadline of its call. */
    @Test
    void reportsRefusalBeforeItsBodyEnds() {
        connectTo(Fault.BODY_OF_REFUSAL.start(vertx, 100));
        assertThat(get(send("/call"), 0).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void failsPollOnFastEndlessAnswer(Fault fault) throws Exception {
        connectTo(fault.start(vertx, 0));
        assertPollFails();
        assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
    }

    /** Guards against an endless poll, since each byte restarts the client's idle timeout. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void failsPollOnSlowEndlessAnswer(Fault fault) throws Exception {
        connectTo(fault.start(vertx, 50));
        assertPollFails();
    }

    /** Guards against surplus bytes that the next call on the connection reads as its answer. */
    @ParameterizedTest
    @EnumSource(Surplus.class)
    void closesConnectionOnBytesAfterTheAnswer(Surplus surplus) {
        String answer = OK + "Content-Length: 2\r\n\r\nok";
        connectTo(Waiting.get(EndlessServer.start(vertx, answer, surplus.part, 0)));
        assertThat(get(send("/call"), DEADLINE_MILLIS).answer()).isPresent();
        assertClosed();
        assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
    }

    /** Guards against an endless answer that delays other calls to the target. */
    @Test
    void answersOtherCallsDuringAnEndlessAnswer() {
        connectTo(Fault.CHUNKED_BODY.start(vertx, 1));
        CompletableFuture<FinishedCall> endless = send("/call");
        List<CompletableFuture<FinishedCall>> others = new ArrayList<>();
        for (int call = 0; call < 3; call++) {
            others.add(send("/sound"));
        }
        for (CompletableFuture<FinishedCall> other : others) {
            FinishedCall finished = get(other, DEADLINE_MILLIS);
            assertThat(finished.answer()).as("the answer, not %s", finished).isPresent();
        }
        assertThat(get(endless, DEADLINE_MILLIS).outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    private void connectTo(EndlessServer endlessServer) {
        server = endlessServer;
        client =
                TargetClient.create(
                        vertx,
                        new SelfAnnouncingProtocol(),
                        Endpoint.of("127.0.0.1", server.port()),
                        5,
                        SentRequests.create(),
                        EventLog.create(),
                        NodeMetrics.create());
        // The first call of a process may exceed its deadline on a busy machine.
        Waiting.get(Future.fromCompletionStage(send("/sound")));
    }

    private CompletableFuture<FinishedCall> send(String path) {
        CallFrame frame =
                new CallFrame(
                        AttemptId.of(CallId.of(NodeId.of("ingress"), 1, calls++), 0),
                        1,
                        "shop",
                        "default",
                        RequestContent.of("GET", path, List.of(), new byte[0]),
                        DEADLINE_MILLIS,
                        400,
                        true,
                        Optional.empty(),
                        0,
                        0,
                        true);
        CompletableFuture<FinishedCall> finished = new CompletableFuture<>();
        vertx.runOnContext(
                ignored ->
                        client.send(
                                frame,
                                List.of(),
                                MAX_ANSWER_BYTES,
                                DEADLINE_MILLIS,
                                result -> finished.complete(result.finished())));
        return finished;
    }

    private void assertPollFails() throws Exception {
        CompletableFuture<PollAnswer> answer = new CompletableFuture<>();
        vertx.runOnContext(
                ignored -> {
                    Future<PollAnswer> poll = client.poll("/health");
                    poll.onComplete(
                            result -> {
                                if (result.succeeded()) {
                                    answer.complete(result.result());
                                } else {
                                    answer.completeExceptionally(result.cause());
                                }
                            });
                });
        Throwable failure = failureOf(answer, POLL_MILLIS);
        assertThat(failure).as("the end of the poll").isNotNull();
        assertClosed();
    }

    private static Throwable failureOf(CompletableFuture<?> future, int limitMillis)
            throws Exception {
        return future.handle((value, failure) -> failure)
                .get(limitMillis + SLACK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static FinishedCall get(CompletableFuture<FinishedCall> call, int limitMillis) {
        try {
            return call.get(limitMillis + SLACK_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | InterruptedException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    private void assertClosed() {
        Waiting.until("the connection is closed", () -> server.openResponses() == 0);
    }
}
