package org.dogwoodwood.node.guard;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.node.http.Headers;
import org.dogwoodwood.node.http.InterimResponses;
import org.dogwoodwood.node.loop.ReadFirstQueue;

/** One HTTP exchange with the target; it reports its result exactly once. */
final class TargetExchange {

    // The ingress cancels a call at its deadline. If no cancel arrives within this time after the
    // deadline, the ingress has failed and the guard ends the sent request itself.
    private static final int INGRESS_LOST_AFTER_MILLIS = 250;

    // The connection is reused if the body of a refusal ends within these limits.
    private static final int REFUSAL_BODY_TIMEOUT_MILLIS = 100;
    private static final int MAX_REFUSAL_BODY_BYTES = 64 << 10;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Vertx vertx;
    private final ReadFirstQueue startQueue;
    private final TargetProtocol protocol;
    private final CallFrame frame;
    private final RequestContent requestContent;
    private final List<HeaderField> extraHeaders;
    private final int maxAnswerBytes;
    private final String requestId;
    private final SentRequests sentRequests;
    private final TargetAnswerLog answerLog;
    private final Consumer<TargetResult> listener;
    private final Buffer answerBody = Buffer.buffer();
    private HttpClientRequest request;
    private HttpClientResponse response;
    private Optional<TargetResult> refusal = Optional.empty();
    private long deadlineNanos;
    private long timer = -1;
    private boolean deadlinePassed;
    private boolean ended;

    /**
     * Creates an exchange that is not started.
     *
     * @param requestId the id of the request, the same for all attempts of a call
     * @param sentRequests the requests that have been sent to the target
     * @param answerLog logs the answers that cannot be used
     * @param listener receives the result of the exchange
     */
    TargetExchange(
            Vertx vertx,
            ReadFirstQueue startQueue,
            TargetProtocol protocol,
            CallFrame frame,
            List<HeaderField> extraHeaders,
            int maxAnswerBytes,
            String requestId,
            SentRequests sentRequests,
            TargetAnswerLog answerLog,
            Consumer<TargetResult> listener) {
        this.vertx = vertx;
        this.startQueue = startQueue;
        this.protocol = protocol;
        this.frame = frame;
        this.requestContent = frame.request();
        this.extraHeaders = extraHeaders;
        this.maxAnswerBytes = maxAnswerBytes;
        this.requestId = requestId;
        this.sentRequests = sentRequests;
        this.answerLog = answerLog;
        this.listener = listener;
    }

    /**
     * Sends the request.
     *
     * @param timeoutMillis the time until the call's deadline, in milliseconds; a request that has
     *     not been sent by then is not sent, and one that has been sent runs on until the target
     *     answers or the ingress cancels it
     */
    void start(HttpClient client, RequestOptions options, long timeoutMillis) {
        deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
        timer = vertx.setTimer(Math.max(1, timeoutMillis), ignored -> onDeadline());
        options.setMethod(HttpMethod.valueOf(requestContent.method()))
                .setURI(requestContent.path());
        connect(() -> client.request(options), true);
    }

    /** Ends the exchange because the ingress no longer waits for the answer. */
    void cancel() {
        if (!isSent()) {
            abort(FinishedCall.notRun(ErrorCode.CANCELLED));
        } else if (deadlinePassed) {
            abort(FinishedCall.unknown(ErrorCode.DEADLINE_EXCEEDED));
        } else {
            abort(FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN));
        }
    }

    /** Ends the exchange and closes its connection, so that the target can stop working on it. */
    void abort(FinishedCall finished) {
        endAndReset(TargetResult.aborted(finished));
    }

    /** Returns whether the request may have reached the target. */
    boolean isSent() {
        return request != null;
    }

    private void onDeadline() {
        deadlinePassed = true;
        if (!isSent()) {
            abort(FinishedCall.notRun(ErrorCode.DEADLINE_TOO_SHORT));
            return;
        }
        timer = vertx.setTimer(INGRESS_LOST_AFTER_MILLIS, ignored -> onIngressLost());
    }

    private void connect(Supplier<Future<HttpClientRequest>> connector, boolean mayReconnect) {
        connector
                .get()
                .onSuccess(
                        opened -> {
                            AtomicBoolean lost = new AtomicBoolean();
                            opened.exceptionHandler(failure -> lost.set(true));
                            // Reads pending input first: a cancel, or the close of an idle
                            // connection by the target, may not have been read yet.
                            startQueue.execute(
                                    () -> {
                                        if (lost.get()) {
                                            reconnect(connector, mayReconnect);
                                        } else {
                                            send(opened);
                                        }
                                    });
                        })
                .onFailure(failure -> end(connectFailure(failure)));
    }

    private void reconnect(Supplier<Future<HttpClientRequest>> connector, boolean mayReconnect) {
        if (mayReconnect && !ended) {
            connect(connector, false);
        } else {
            end(TargetResult.connectionLost());
        }
    }

    private static TargetResult connectFailure(Throwable failure) {
        return failure instanceof ConnectException
                ? TargetResult.connectFailed()
                : TargetResult.connectionLost();
    }

    private void send(HttpClientRequest opened) {
        opened.exceptionHandler(this::onBroken);
        InterimResponses.limit(opened, this::onBroken);
        if (ended) {
            opened.reset();
            return;
        }
        if (!mayBeSent()) {
            end(TargetResult.aborted(FinishedCall.unknown(ErrorCode.REQUEST_REPEATED)));
            opened.reset();
            return;
        }
        request = opened;
        for (HeaderField header : requestContent.headers()) {
            opened.headers().add(header.name(), header.value());
        }
        for (HeaderField header : extraHeaders) {
            opened.headers().set(header.name(), header.value());
        }
        boolean empty =
                requestContent.body().length == 0 && !sendsEmptyBody(requestContent.method());
        (empty ? opened.send() : opened.send(Buffer.buffer(requestContent.body())))
                .onSuccess(this::receive)
                .onFailure(this::onBroken);
    }

    private boolean mayBeSent() {
        long nowNanos = System.nanoTime();
        long remainingMillis = Math.max(0, (deadlineNanos - nowNanos) / NANOS_PER_MILLI);
        return sentRequests.addIfNew(requestId, remainingMillis, nowNanos);
    }

    // RFC 9110, section 8.6: a method that anticipates content sends Content-Length: 0.
    private static boolean sendsEmptyBody(String method) {
        return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
    }

    private void receive(HttpClientResponse received) {
        if (ended) {
            return;
        }
        response = received;
        TargetProtocol.ResponseType responseType =
                protocol.classify(frame, response.statusCode(), response.headers());
        if (responseType == TargetProtocol.ResponseType.FOREIGN
                || InterimResponses.isInterim(response.statusCode())) {
            onForeign();
            return;
        }
        if (responseType == TargetProtocol.ResponseType.NOT_RUN) {
            onRefusal(TargetResult.refused().withLoad(targetLoad()));
        } else if (responseType == TargetProtocol.ResponseType.MISDIRECTED) {
            // The load of another process says nothing about the target.
            onRefusal(TargetResult.misdirected());
        }
        response.exceptionHandler(this::onBroken);
        response.handler(this::onBody);
        response.endHandler(ignored -> end(refusal.orElseGet(this::answered)));
    }

    /**
     * Closes the connection: the answer to this call may follow, but the connection can no longer
     * be trusted to match responses to calls.
     */
    private void onForeign() {
        answerLog.onForeign(
                requestId,
                request.connection().localAddress().port(),
                response.statusCode(),
                protocol.requestIdHeader().map(response::getHeader).orElse(""));
        endAndReset(TargetResult.broken());
    }

    /** Limits the wait for the body, since the head of a refusal already decides the result. */
    private void onRefusal(TargetResult result) {
        refusal = Optional.of(result);
        vertx.setTimer(REFUSAL_BODY_TIMEOUT_MILLIS, ignored -> endAndReset(result));
    }

    private void onBody(Buffer chunk) {
        if (ended) {
            return;
        }
        int limit = refusal.isPresent() ? MAX_REFUSAL_BODY_BYTES : maxAnswerBytes;
        if (answerBody.length() + chunk.length() > limit) {
            logUnusable("The body of the answer is larger than " + limit + " bytes.");
            abort(FinishedCall.unknown(ErrorCode.ANSWER_TOO_LARGE));
        } else {
            answerBody.appendBuffer(chunk);
        }
    }

    private void onIngressLost() {
        if (response != null && !ended) {
            logUnusable("The body of the answer is incomplete at the deadline of the call.");
        }
        abort(FinishedCall.unknown(ErrorCode.DEADLINE_EXCEEDED));
    }

    private void onBroken(Throwable failure) {
        if (!ended) {
            logUnusable("The connection broke or the answer is invalid HTTP: " + failure + ".");
        }
        endAndReset(TargetResult.broken());
    }

    private void logUnusable(String reason) {
        answerLog.onUnusable(requestId, request.connection().localAddress().port(), reason);
    }

    private TargetResult answered() {
        boolean head = requestContent.method().equals("HEAD");
        List<HeaderField> headers = Headers.endToEnd(response.headers(), head);
        byte[] body = answerBody.getBytes();
        return TargetResult.answered(TargetAnswer.of(response.statusCode(), headers, body))
                .withLoad(targetLoad());
    }

    private Optional<ReportedLoad> targetLoad() {
        return protocol.loadOf(response.headers());
    }

    /** Ends the exchange and resets its connection; a refusal received before stays the result. */
    private void endAndReset(TargetResult result) {
        if (ended) {
            return;
        }
        HttpClientRequest sent = request;
        end(refusal.orElse(result));
        if (sent != null) {
            sent.reset();
        }
    }

    private void end(TargetResult result) {
        if (!ended) {
            ended = true;
            vertx.cancelTimer(timer);
            listener.accept(result);
        }
    }
}
