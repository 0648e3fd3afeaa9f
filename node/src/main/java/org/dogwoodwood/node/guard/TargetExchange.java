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
import org.dogwoodwood.node.http.InterimAnswers;
import org.dogwoodwood.node.loop.ReadFirstQueue;

/** One HTTP exchange with the target, which ends exactly once. */
final class TargetExchange {

    // The ingress ends a call at its deadline. The guard ends a request that was sent only when
    // nothing has come from the ingress for this much longer, because the ingress is gone.
    private static final int LOST_INGRESS_MILLIS = 250;

    // The connection can be used again if the body of a refusal ends within these limits.
    private static final int REFUSAL_BODY_MILLIS = 100;
    private static final int REFUSAL_BODY_BYTES = 64 << 10;

    private final Vertx vertx;
    private final ReadFirstQueue starts;
    private final TargetProtocol protocol;
    private final CallFrame frame;
    private final RequestContent content;
    private final List<HeaderField> extraHeaders;
    private final int maxAnswerBytes;
    private final Consumer<String> faults;
    private final Consumer<TargetResult> listener;
    private final Buffer answerBody = Buffer.buffer();
    private HttpClientRequest request;
    private HttpClientResponse response;
    private Optional<TargetResult> refusal = Optional.empty();
    private long timer = -1;
    private boolean overdue;
    private boolean ended;

    /**
     * Creates an exchange that is not started.
     *
     * @param faults is told why an answer could not be used
     * @param listener is told how the exchange ended
     */
    TargetExchange(
            Vertx vertx,
            ReadFirstQueue starts,
            TargetProtocol protocol,
            CallFrame frame,
            List<HeaderField> extraHeaders,
            int maxAnswerBytes,
            Consumer<String> faults,
            Consumer<TargetResult> listener) {
        this.vertx = vertx;
        this.starts = starts;
        this.protocol = protocol;
        this.frame = frame;
        this.content = frame.request();
        this.extraHeaders = extraHeaders;
        this.maxAnswerBytes = maxAnswerBytes;
        this.faults = faults;
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
        breakOff(TargetResult.aborted(finished));
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
        timer = vertx.setTimer(LOST_INGRESS_MILLIS, ignored -> onIngressLost());
    }

    private void connect(Supplier<Future<HttpClientRequest>> connector, boolean mayBeIdle) {
        connector
                .get()
                .onSuccess(
                        opened -> {
                            AtomicBoolean lost = new AtomicBoolean();
                            opened.exceptionHandler(failure -> lost.set(true));
                            // A cancel, or the end of an idle connection, may be unread.
                            starts.execute(
                                    () -> {
                                        if (lost.get()) {
                                            reconnect(connector, mayBeIdle);
                                        } else {
                                            send(opened);
                                        }
                                    });
                        })
                .onFailure(failure -> end(notOpened(failure)));
    }

    private void reconnect(Supplier<Future<HttpClientRequest>> connector, boolean mayBeIdle) {
        if (mayBeIdle && !ended) {
            connect(connector, false);
        } else {
            end(TargetResult.connectionLost());
        }
    }

    private static TargetResult notOpened(Throwable failure) {
        return failure instanceof ConnectException
                ? TargetResult.connectFailed()
                : TargetResult.connectionLost();
    }

    private void send(HttpClientRequest opened) {
        opened.exceptionHandler(this::onBroken);
        InterimAnswers.limit(opened, this::onBroken);
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
                .onFailure(this::onBroken);
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
        TargetProtocol.Reading reading =
                protocol.read(frame, response.statusCode(), response.headers());
        if (reading == TargetProtocol.Reading.FOREIGN
                || InterimAnswers.isInterim(response.statusCode())) {
            // The answer to this call may follow, but the connection can no longer be trusted.
            faults.accept("The answer belongs to another call or is none of the target.");
            breakOff(TargetResult.broken());
            return;
        }
        if (reading == TargetProtocol.Reading.NOT_RUN) {
            onRefusal();
        }
        response.exceptionHandler(this::onBroken);
        response.handler(this::onBody);
        response.endHandler(ignored -> end(refusal.orElseGet(this::answered)));
    }

    /** The head of a refusal is final, so that its body may not hold the call up. */
    private void onRefusal() {
        TargetResult result = TargetResult.refused().withCondition(condition());
        refusal = Optional.of(result);
        vertx.setTimer(REFUSAL_BODY_MILLIS, ignored -> breakOff(result));
    }

    private void onBody(Buffer chunk) {
        if (ended) {
            return;
        }
        int limit = refusal.isPresent() ? REFUSAL_BODY_BYTES : maxAnswerBytes;
        if (answerBody.length() + chunk.length() > limit) {
            faults.accept("The body of the answer has more than " + limit + " bytes.");
            abort(FinishedCall.unknown(ErrorCode.ANSWER_TOO_LARGE));
        } else {
            answerBody.appendBuffer(chunk);
        }
    }

    private void onIngressLost() {
        if (response != null && !ended) {
            faults.accept("The body of the answer has not ended at the deadline of the call.");
        }
        abort(FinishedCall.unknown(ErrorCode.DEADLINE_EXCEEDED));
    }

    private void onBroken(Throwable failure) {
        if (!ended) {
            faults.accept("The connection broke or the answer breaks HTTP: " + failure + ".");
        }
        breakOff(TargetResult.broken());
    }

    private TargetResult answered() {
        boolean head = content.method().equals("HEAD");
        List<HeaderField> headers = Headers.endToEnd(response.headers(), head);
        byte[] body = answerBody.getBytes();
        return TargetResult.answered(TargetAnswer.of(response.statusCode(), headers, body))
                .withCondition(condition());
    }

    private Optional<TargetCondition> condition() {
        return protocol.conditionOf(response.headers());
    }

    /** Ends the exchange and closes its connection; a refusal that has come stays the result. */
    private void breakOff(TargetResult result) {
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
