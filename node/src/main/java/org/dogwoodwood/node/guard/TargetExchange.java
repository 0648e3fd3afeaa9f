package org.dogwoodwood.node.guard;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.node.http.Headers;
import org.dogwoodwood.node.loop.ReadFirstQueue;

/** One HTTP exchange with the target, which ends exactly once. */
final class TargetExchange {

    // The ingress ends a call at its deadline. The guard ends a request that was sent only when
    // nothing has come from the ingress for this much longer, because the ingress is gone.
    private static final int LOST_INGRESS_MILLIS = 250;

    private final Vertx vertx;
    private final ReadFirstQueue starts;
    private final TargetProtocol protocol;
    private final CallFrame frame;
    private final RequestContent content;
    private final List<HeaderField> extraHeaders;
    private final int maxAnswerBytes;
    private final Consumer<TargetResult> listener;
    private final Buffer answerBody = Buffer.buffer();
    private HttpClientRequest request;
    private long timer = -1;
    private boolean overdue;
    private boolean connectionLost;
    private boolean ended;

    TargetExchange(
            Vertx vertx,
            ReadFirstQueue starts,
            TargetProtocol protocol,
            CallFrame frame,
            List<HeaderField> extraHeaders,
            int maxAnswerBytes,
            Consumer<TargetResult> listener) {
        this.vertx = vertx;
        this.starts = starts;
        this.protocol = protocol;
        this.frame = frame;
        this.content = frame.request();
        this.extraHeaders = extraHeaders;
        this.maxAnswerBytes = maxAnswerBytes;
        this.listener = listener;
    }

    /**
     * Sends the request.
     *
     * @param timeoutMillis the time until the call's deadline; a request that has not been sent by
     *     then is not sent, and one that has been sent is left to the target and to the ingress
     */
    void start(HttpClient client, RequestOptions options, long timeoutMillis) {
        timer = vertx.setTimer(Math.max(1, timeoutMillis), ignored -> onDeadline());
        options.setMethod(HttpMethod.valueOf(content.method())).setURI(content.path());
        connect(() -> client.request(options), true);
    }

    /** Ends the exchange because the ingress does not wait for its answer any more. */
    void cancel() {
        if (!isSent()) {
            abort(FinishedCall.notRun(ErrorCode.CANCELLED));
        } else if (overdue) {
            abort(FinishedCall.unknown(ErrorCode.DEADLINE_EXCEEDED));
        } else {
            abort(FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN));
        }
    }

    /** Ends the exchange and closes its connection, which tells the target to stop. */
    void abort(FinishedCall finished) {
        if (ended) {
            return;
        }
        HttpClientRequest sent = request;
        end(TargetResult.aborted(finished));
        if (sent != null) {
            sent.reset();
        }
    }

    /** Returns whether the request may have reached the target. */
    boolean isSent() {
        return request != null;
    }

    private void onDeadline() {
        overdue = true;
        if (!isSent()) {
            abort(FinishedCall.notRun(ErrorCode.DEADLINE_TOO_SHORT));
            return;
        }
        timer =
                vertx.setTimer(
                        LOST_INGRESS_MILLIS,
                        ignored -> abort(FinishedCall.unknown(ErrorCode.DEADLINE_EXCEEDED)));
    }

    private void connect(Supplier<Future<HttpClientRequest>> connector, boolean mayBeIdle) {
        connector
                .get()
                .onSuccess(
                        opened -> {
                            connectionLost = false;
                            opened.exceptionHandler(failure -> onConnectionLost());
                            // A cancel, or the end of an idle connection, may be unread.
                            starts.execute(() -> sendOrReconnect(opened, connector, mayBeIdle));
                        })
                .onFailure(failure -> end(TargetResult.connectFailed()));
    }

    private void onConnectionLost() {
        connectionLost = true;
        if (isSent()) {
            end(TargetResult.broken());
        }
    }

    private void sendOrReconnect(
            HttpClientRequest opened,
            Supplier<Future<HttpClientRequest>> connector,
            boolean mayBeIdle) {
        if (!connectionLost) {
            send(opened);
        } else if (mayBeIdle && !ended) {
            connect(connector, false);
        } else {
            end(TargetResult.connectFailed());
        }
    }

    private void send(HttpClientRequest opened) {
        if (ended) {
            opened.reset();
            return;
        }
        request = opened;
        for (HeaderField header : content.headers()) {
            opened.headers().add(header.name(), header.value());
        }
        for (HeaderField header : extraHeaders) {
            opened.headers().set(header.name(), header.value());
        }
        boolean empty = content.body().length == 0 && !sendsEmptyBody(content.method());
        (empty ? opened.send() : opened.send(Buffer.buffer(content.body())))
                .onSuccess(this::receive)
                .onFailure(failure -> end(TargetResult.broken()));
    }

    // RFC 9110, section 8.6: a method that anticipates content sends Content-Length: 0.
    private static boolean sendsEmptyBody(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }

    private void receive(HttpClientResponse response) {
        TargetProtocol.Reading reading =
                protocol.read(frame, response.statusCode(), response.headers());
        if (reading == TargetProtocol.Reading.FOREIGN) {
            // The answer to this call may follow, but the connection can no longer be trusted.
            end(TargetResult.broken());
            request.reset();
            return;
        }
        response.exceptionHandler(failure -> end(TargetResult.broken()));
        response.handler(
                chunk -> {
                    if (!ended && answerBody.length() + chunk.length() > maxAnswerBytes) {
                        abort(FinishedCall.unknown(ErrorCode.ANSWER_TOO_LARGE));
                    } else if (!ended) {
                        answerBody.appendBuffer(chunk);
                    }
                });
        response.endHandler(
                ignored -> {
                    Optional<TargetCondition> condition = protocol.conditionOf(response.headers());
                    if (reading == TargetProtocol.Reading.NOT_RUN) {
                        end(TargetResult.refused().withCondition(condition));
                        return;
                    }
                    boolean head = content.method().equals("HEAD");
                    List<HeaderField> headers = Headers.endToEnd(response.headers(), head);
                    byte[] body = answerBody.getBytes();
                    end(
                            TargetResult.answered(
                                            TargetAnswer.of(response.statusCode(), headers, body))
                                    .withCondition(condition));
                });
    }

    private void end(TargetResult result) {
        if (!ended) {
            ended = true;
            vertx.cancelTimer(timer);
            listener.accept(result);
        }
    }
}
