package org.dogwoodwood.standins.caller;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Arrays;
import java.util.function.Consumer;
import org.dogwoodwood.standins.support.Address;
import org.dogwoodwood.standins.target.TargetAnswers;

/**
 * Sends calls and retries them where a caller may: after {@code not-run} any call, and otherwise
 * only idempotent calls and calls with an idempotency key.
 */
final class CallSender {

    private static final int MAX_CONNECTIONS = 500;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long INITIAL_RETRY_DELAY_MILLIS = 50;

    /** How long past the call's timeout the sender waits for the system's own answer. */
    private static final long RESPONSE_GRACE_MILLIS = 1_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final LoadOptions options;
    private final LoadResult result;
    private final HttpClient client;

    CallSender(Vertx vertx, LoadOptions options, LoadResult result) {
        this.vertx = vertx;
        this.options = options;
        this.result = result;
        this.client =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /** Sends a call; the consumer is called once, with the final result. */
    void send(PlannedCall call, Consumer<CallResult> onCompleted) {
        long deadline = System.nanoTime() + options.timeoutMillis() * NANOS_PER_MILLI;
        attempt(new PendingCall(call, deadline, onCompleted), 0);
    }

    void close() {
        client.close();
    }

    private void attempt(PendingCall pending, int attemptNumber) {
        exchange(pending.call(), attemptNumber, pending.remainingMillis())
                .onSuccess(response -> onResponse(pending, attemptNumber, response))
                .onFailure(
                        failure ->
                                retryOrComplete(
                                        pending,
                                        attemptNumber,
                                        CallResult.LOST,
                                        "no answer: " + failure.getMessage()));
    }

    private Future<Response> exchange(PlannedCall call, int attemptNumber, long leftMillis) {
        Address node =
                options.nodes().get((call.number() + attemptNumber) % options.nodes().size());
        RequestOptions request =
                new RequestOptions()
                        .setMethod(call.isIdempotent() ? HttpMethod.GET : HttpMethod.POST)
                        .setHost(node.host())
                        .setPort(node.port())
                        .setURI(call.path(options.minAnswerBytes()))
                        .putHeader("Dogwoodwood-Timeout-Ms", Long.toString(leftMillis))
                        .putHeader("Dogwoodwood-Class", options.callClass())
                        .setIdleTimeout(leftMillis + RESPONSE_GRACE_MILLIS);
        if (!call.isIdempotent()) {
            request.putHeader("Idempotency-Key", call.id());
        }
        return client.request(request)
                .compose(opened -> opened.send(call.body()))
                .compose(
                        response ->
                                response.body()
                                        .map(
                                                body ->
                                                        new Response(
                                                                response.statusCode(),
                                                                response.getHeader(
                                                                        "Dogwoodwood-Outcome"),
                                                                body)));
    }

    private void onResponse(PendingCall pending, int attemptNumber, Response response) {
        if (response.status() == 200) {
            byte[] expected = TargetAnswers.bodyOf(pending.call().id(), options.minAnswerBytes());
            boolean complete = Arrays.equals(expected, response.body().getBytes());
            complete(
                    pending,
                    complete ? CallResult.ANSWERED : CallResult.WRONG,
                    response.body().length() + " bytes that are not the answer");
        } else if ("not-run".equals(response.outcome())) {
            retryOrComplete(pending, attemptNumber, CallResult.REFUSED, response.reason());
        } else {
            retryOrComplete(pending, attemptNumber, CallResult.UNKNOWN, response.reason());
        }
    }

    private void retryOrComplete(
            PendingCall pending, int attemptNumber, CallResult finalResult, String reason) {
        long delay = INITIAL_RETRY_DELAY_MILLIS << Math.min(attemptNumber, 3);
        boolean retryable =
                attemptNumber < options.maxRetries() && pending.remainingMillis() > delay;
        if (retryable) {
            result.onRetry(reason);
            vertx.setTimer(delay, id -> attempt(pending, attemptNumber + 1));
        } else {
            complete(pending, finalResult, reason);
        }
    }

    private void complete(PendingCall pending, CallResult outcome, String detail) {
        long latency = System.nanoTime() - pending.call().dueNanos();
        result.onCompleted(pending.call(), outcome, latency, detail);
        pending.onCompleted().accept(outcome);
    }

    /** A started call, with the deadline for its retries. */
    private record PendingCall(
            PlannedCall call, long deadlineNanos, Consumer<CallResult> onCompleted) {

        long remainingMillis() {
            return Math.max(1, (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI);
        }
    }

    private record Response(int status, String outcome, Buffer body) {

        String reason() {
            String text = body.toString();
            return status + " " + text.substring(0, Math.min(text.length(), 120));
        }
    }
}
