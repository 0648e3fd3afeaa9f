package org.dogwoodwood.node.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Objects;

/**
 * Sends HTTP requests, limiting the size of each answer and the time from the call to the last byte
 * of the body. A request that exceeds a limit fails, and its connection is closed.
 */
public final class BoundedHttpClient {

    private final Vertx vertx;
    private final HttpClient client;
    private final int maxBodyBytes;

    private BoundedHttpClient(Vertx vertx, HttpClient client, int maxBodyBytes) {
        this.vertx = vertx;
        this.client = client;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Returns a client.
     *
     * @param vertx the Vert.x instance that provides the event loops, not null
     * @param options the options of its connections, not null
     * @param connections the maximum number of connections
     * @param maxBodyBytes the maximum size of the body of an answer, in bytes
     */
    public static BoundedHttpClient create(
            Vertx vertx, HttpClientOptions options, int connections, int maxBodyBytes) {
        Objects.requireNonNull(vertx, "vertx");
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(connections);
        HttpClient client =
                vertx.httpClientBuilder()
                        .with(options)
                        .with(pool)
                        .withConnectHandler(ResponseFraming::install)
                        .build();
        return new BoundedHttpClient(vertx, client, maxBodyBytes);
    }

    /**
     * Sends a request.
     *
     * @param options the request, not null
     * @param body its body, not null
     * @param timeoutMillis the time within which the complete answer must arrive, in milliseconds
     * @return a future of the answer; it fails with a {@link java.util.concurrent.TimeoutException}
     *     or an {@link AnswerTooLargeException} if a limit is exceeded
     */
    public Future<HttpAnswer> send(RequestOptions options, Buffer body, long timeoutMillis) {
        return send(options, body, timeoutMillis, Promise.<Void>promise().future());
    }

    /**
     * Sends a request that the caller can cancel.
     *
     * @param options the request, not null
     * @param body its body, not null
     * @param timeoutMillis the time within which the complete answer must arrive, in milliseconds
     * @param cancellation cancels the request and closes its connection when it completes, not null
     * @return a future of the answer; it fails with a {@link java.util.concurrent.TimeoutException}
     *     or an {@link AnswerTooLargeException} if a limit is exceeded, and with a {@link
     *     java.util.concurrent.CancellationException} if the request was cancelled
     */
    public Future<HttpAnswer> send(
            RequestOptions options, Buffer body, long timeoutMillis, Future<Void> cancellation) {
        BoundedExchange exchange = new BoundedExchange(vertx, maxBodyBytes);
        cancellation.onComplete(cancelled -> exchange.cancel());
        // All steps run on one event loop, so that no part of an answer is lost between two steps.
        if (Vertx.currentContext() == null) {
            vertx.runOnContext(ignored -> exchange.start(client, options, body, timeoutMillis));
        } else {
            exchange.start(client, options, body, timeoutMillis);
        }
        return exchange.answer();
    }

    /** Closes the connections. */
    public Future<Void> close() {
        return client.close();
    }
}
