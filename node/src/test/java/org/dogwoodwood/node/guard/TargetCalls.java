package org.dogwoodwood.node.guard;

import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
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

/** Calls to one target, whose answers carry the id of their request. */
final class TargetCalls {

    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int CONNECTIONS = 9;
    private static final long TIMEOUT_MILLIS = 2_000;

    private final Vertx vertx;
    private final TargetClient client;

    private TargetCalls(Vertx vertx, TargetClient client) {
        this.vertx = vertx;
        this.client = client;
    }

    static TargetCalls to(Endpoint target, Vertx vertx) {
        return new TargetCalls(
                vertx,
                TargetClient.create(
                        vertx,
                        new IdentifyingProtocol(),
                        target,
                        CONNECTIONS,
                        SentRequests.create(),
                        EventLog.create(),
                        NodeMetrics.create()));
    }

    TargetClient client() {
        return client;
    }

    /** Sends a request and returns its result. */
    TargetResult send(String method, String id) {
        return Waiting.get(start(method, id, new byte[0]));
    }

    Future<TargetResult> start(String method, String id, byte[] body) {
        Promise<TargetResult> result = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(
                        ignored ->
                                client.send(
                                        frame(method, id, body),
                                        List.of(),
                                        MAX_ANSWER_BYTES,
                                        TIMEOUT_MILLIS,
                                        result::complete));
        return result.future();
    }

    /** Returns the status and body of the answer, or the error. */
    static String describe(TargetResult result) {
        return result.finished()
                .answer()
                .map(answer -> answer.status() + " " + text(answer.body()))
                .orElseGet(() -> result.finished().error().orElseThrow().name());
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static CallFrame frame(String method, String id, byte[] body) {
        return new CallFrame(
                AttemptId.of(CallId.of(NodeId.of("n"), 1, id.hashCode()), 0),
                1,
                "shop",
                "default",
                RequestContent.of(method, "/", List.of(HeaderField.of(REQUEST_ID, id)), body),
                TIMEOUT_MILLIS,
                TIMEOUT_MILLIS,
                true,
                Optional.empty(),
                0,
                0,
                true);
    }
}
