package org.dogwoodwood.node.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeoutException;

/** One request of a {@link BoundedHttpClient} and its answer; it completes exactly once. */
final class BoundedExchange {

    private final Vertx vertx;
    private final int maxBodyBytes;
    private final Promise<HttpAnswer> answer = Promise.promise();
    private final Buffer receivedBody = Buffer.buffer();
    private HttpClientRequest request;
    private long timer;
    private boolean ended;

    BoundedExchange(Vertx vertx, int maxBodyBytes) {
        this.vertx = vertx;
        this.maxBodyBytes = maxBodyBytes;
    }

    Future<HttpAnswer> answer() {
        return answer.future();
    }

    void start(HttpClient client, RequestOptions options, Buffer body, long timeoutMillis) {
        timer = vertx.setTimer(timeoutMillis, ignored -> onTimeout(timeoutMillis));
        client.request(options).onSuccess(opened -> send(opened, body)).onFailure(this::fail);
    }

    void cancel() {
        fail(new CancellationException("the request was cancelled"));
    }

    private void send(HttpClientRequest opened, Buffer body) {
        opened.exceptionHandler(this::fail);
        InterimResponses.limit(opened, this::fail);
        request = opened;
        if (ended) {
            opened.reset();
            return;
        }
        opened.send(body).onSuccess(this::receive).onFailure(this::fail);
    }

    private void receive(HttpClientResponse response) {
        if (InterimResponses.isInterim(response.statusCode())) {
            fail(
                    new IllegalArgumentException(
                            "received interim status "
                                    + response.statusCode()
                                    + " instead of a final response"));
            return;
        }
        response.exceptionHandler(this::fail);
        response.handler(this::onBody);
        response.endHandler(
                ignored -> {
                    if (tryEnd()) {
                        answer.complete(
                                new HttpAnswer(
                                        response.statusCode(), response.headers(), receivedBody));
                    }
                });
    }

    private void onBody(Buffer chunk) {
        if (ended) {
            return;
        }
        if (receivedBody.length() + chunk.length() > maxBodyBytes) {
            fail(AnswerTooLargeException.bodyAbove(maxBodyBytes));
        } else {
            receivedBody.appendBuffer(chunk);
        }
    }

    private void onTimeout(long timeoutMillis) {
        fail(new TimeoutException("no complete answer arrived within " + timeoutMillis + " ms"));
    }

    private void fail(Throwable failure) {
        if (tryEnd()) {
            answer.fail(failure);
            if (request != null) {
                request.reset();
            }
        }
    }

    private boolean tryEnd() {
        if (ended) {
            return false;
        }
        ended = true;
        vertx.cancelTimer(timer);
        return true;
    }
}
