package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** The platform log over HTTP. */
final class HttpPlatformLog implements PlatformLog {

    // Two long polls, one append and one read that catches up.
    private static final int CONNECTIONS = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 10_000;

    private final HttpClient client;
    private final String host;
    private final int port;

    private HttpPlatformLog(HttpClient client, String host, int port) {
        this.client = client;
        this.host = host;
        this.port = port;
    }

    /** Returns a client of the log at an address. */
    static HttpPlatformLog create(Vertx vertx, String host, int port) {
        HttpClientOptions options =
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(CONNECTIONS);
        return new HttpPlatformLog(vertx.createHttpClient(options, pool), host, port);
    }

    @Override
    public Future<Long> append(String stream, String subject, String publicationId, byte[] data) {
        RequestOptions options =
                options(HttpMethod.POST, "/v1/streams/" + stream + "/records", 0)
                        .putHeader("Publication-Id", publicationId);
        return send(options, Buffer.buffer(data))
                .map(
                        answer -> {
                            if (answer.status != 201) {
                                throw failure(answer);
                            }
                            return answer.json().getLong("offset");
                        })
                .recover(HttpPlatformLog::unavailable);
    }

    @Override
    public Future<Batch> read(String stream, long from, int max, long waitMillis) {
        String path =
                "/v1/streams/"
                        + stream
                        + "/records?from="
                        + from
                        + "&max="
                        + max
                        + "&wait_ms="
                        + waitMillis;
        return send(options(HttpMethod.GET, path, waitMillis), Buffer.buffer())
                .map(HttpPlatformLog::toBatch)
                .recover(HttpPlatformLog::unavailable);
    }

    @Override
    public Future<Void> close() {
        return client.close();
    }

    private RequestOptions options(HttpMethod method, String path, long waitMillis) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(host)
                .setPort(port)
                .setURI(path)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setIdleTimeout(waitMillis + RESPONSE_TIMEOUT_MILLIS);
    }

    private Future<Answer> send(RequestOptions options, Buffer body) {
        return client.request(options)
                .compose((HttpClientRequest request) -> request.send(body))
                .compose(
                        response ->
                                response.body()
                                        .map(data -> new Answer(response.statusCode(), data)));
    }

    private static Batch toBatch(Answer answer) {
        if (answer.status == 410) {
            throw new OffsetExpiredException(answer.json().getLong("first_offset"));
        }
        if (answer.status != 200) {
            throw failure(answer);
        }
        JsonObject json = answer.json();
        List<RawRecord> records = new ArrayList<>();
        for (Object element : json.getJsonArray("records")) {
            JsonObject entry = (JsonObject) element;
            records.add(
                    new RawRecord(
                            entry.getLong("offset"),
                            entry.getLong("timestamp_ms"),
                            entry.getString("publication_id"),
                            Buffer.buffer(
                                    java.util.Base64.getDecoder()
                                            .decode(entry.getString("data")))));
        }
        return new Batch(
                json.getLong("first_offset"),
                json.getLong("next_offset"),
                records,
                records.isEmpty());
    }

    private static DogwoodwoodException failure(Answer answer) {
        return switch (answer.status) {
            case 429 ->
                    new DogwoodwoodException(
                            ErrorCode.LOG_RATE_LIMITED, "The platform log refused an append.");
            case 503 ->
                    new DogwoodwoodException(
                            ErrorCode.LOG_UNAVAILABLE, "The platform log is down.");
            default ->
                    new DogwoodwoodException(
                            ErrorCode.LOG_PROTOCOL,
                            "The platform log answered " + answer.status + ".");
        };
    }

    private static <T> Future<T> unavailable(Throwable failure) {
        if (failure instanceof DogwoodwoodException) {
            return Future.failedFuture(failure);
        }
        boolean malformed =
                failure instanceof io.vertx.core.json.DecodeException
                        || failure instanceof ClassCastException
                        || failure instanceof NullPointerException
                        || failure instanceof IllegalArgumentException;
        ErrorCode code = malformed ? ErrorCode.LOG_PROTOCOL : ErrorCode.LOG_UNAVAILABLE;
        return Future.failedFuture(
                new DogwoodwoodException(code, "The platform log cannot be used.", failure));
    }

    private record Answer(int status, Buffer data) {

        JsonObject json() {
            return new JsonObject(data);
        }
    }
}
