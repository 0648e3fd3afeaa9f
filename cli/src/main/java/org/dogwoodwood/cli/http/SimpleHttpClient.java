package org.dogwoodwood.cli.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.TargetAnswer;

/**
 * An HTTP client with blocking and asynchronous requests. Its threads start with the first request.
 */
public final class SimpleHttpClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private Vertx vertx;
    private HttpClient client;

    private SimpleHttpClient() {}

    /** Returns a client; close it to release its threads. */
    public static SimpleHttpClient create() {
        return new SimpleHttpClient();
    }

    /**
     * Sends a request without a body and waits for the response.
     *
     * @throws HttpRequestException if no response arrives within the timeout
     */
    public HttpResponse get(
            NetworkAddress address, String path, Map<String, String> headers, Duration timeout) {
        return await(sendAsync(HttpMethod.GET, address, path, headers, ""), address, timeout);
    }

    /**
     * Sends a request with a body and waits for the response.
     *
     * @throws HttpRequestException if no response arrives within the timeout
     */
    public HttpResponse post(
            NetworkAddress address,
            String path,
            Map<String, String> headers,
            String body,
            Duration timeout) {
        return await(sendAsync(HttpMethod.POST, address, path, headers, body), address, timeout);
    }

    /**
     * Sends a request without a body asynchronously; the future fails with {@link
     * HttpRequestException} if no response arrives within the timeout.
     */
    public CompletableFuture<HttpResponse> getAsync(
            NetworkAddress address, String path, Map<String, String> headers, Duration timeout) {
        return sendAsync(HttpMethod.GET, address, path, headers, "")
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .handle(
                        (response, failure) -> {
                            if (failure != null) {
                                throw toFailure(failure, address);
                            }
                            return response;
                        });
    }

    private CompletableFuture<HttpResponse> sendAsync(
            HttpMethod method,
            NetworkAddress address,
            String path,
            Map<String, String> headers,
            String body) {
        RequestOptions request =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(address.host())
                        .setPort(address.port())
                        .setURI(path);
        headers.forEach(request::putHeader);
        return client().request(request)
                .recover(cause -> Future.failedFuture(connectFailure(address, cause)))
                .compose(connected -> exchange(connected, body))
                .toCompletionStage()
                .toCompletableFuture();
    }

    private static Future<HttpResponse> exchange(HttpClientRequest request, String body) {
        Future<HttpClientResponse> response =
                body.isEmpty() ? request.send() : request.send(Buffer.buffer(body));
        return response.compose(
                received ->
                        !TargetAnswer.isFinalStatus(received.statusCode())
                                ? Future.failedFuture("The status is not one of HTTP.")
                                : received.body()
                                        .map(
                                                content ->
                                                        new HttpResponse(
                                                                received.statusCode(),
                                                                content.toString())));
    }

    private static HttpResponse await(
            CompletableFuture<HttpResponse> response, NetworkAddress address, Duration timeout) {
        try {
            return response.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS).join();
        } catch (CompletionException e) {
            throw toFailure(e, address);
        }
    }

    private static HttpRequestException connectFailure(NetworkAddress address, Throwable cause) {
        return new HttpRequestException(
                ErrorCode.UNREACHABLE, address + " cannot be reached.", false, cause);
    }

    private static HttpRequestException toFailure(Throwable thrown, NetworkAddress address) {
        Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
        if (cause instanceof HttpRequestException failure) {
            return failure;
        }
        String reason =
                cause instanceof TimeoutException
                        ? " did not answer in time."
                        : " closed the connection before it answered.";
        return new HttpRequestException(ErrorCode.UNREACHABLE, address + reason, true, cause);
    }

    private synchronized HttpClient client() {
        if (client == null) {
            vertx = Vertx.vertx();
            client =
                    vertx.createHttpClient(
                            new HttpClientOptions()
                                    .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                                    // No bytes of an earlier answer can come before the next one.
                                    .setKeepAlive(false));
        }
        return client;
    }

    @Override
    public synchronized void close() {
        if (vertx != null) {
            vertx.close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .completeOnTimeout(null, CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .join();
        }
    }
}
