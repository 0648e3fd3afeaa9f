package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.http.BoundedHttpClient;
import org.dogwoodwood.node.http.HttpAnswer;

/** Accesses the platform log over HTTP. */
final class HttpPlatformLog implements PlatformLog {

    // Two long polls, one append and one catch-up read.
    private static final int MAX_CONNECTIONS = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long RESPONSE_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private final BoundedHttpClient client;
    private final String host;
    private final int port;

    private HttpPlatformLog(BoundedHttpClient client, String host, int port) {
        this.client = client;
        this.host = host;
        this.port = port;
    }

    /** Returns a client of the log at the given address. */
    static HttpPlatformLog create(Vertx vertx, String host, int port) {
        HttpClientOptions options =
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        BoundedHttpClient client =
                BoundedHttpClient.create(vertx, options, MAX_CONNECTIONS, MAX_ANSWER_BYTES);
        return new HttpPlatformLog(client, host, port);
    }

    @Override
    public Future<Long> append(String stream, String subject, String publicationId, byte[] data) {
        RequestOptions options =
                options(HttpMethod.POST, "/v1/streams/" + stream + "/records")
                        .putHeader("Publication-Id", publicationId);
        return client.send(options, Buffer.buffer(data), RESPONSE_TIMEOUT_MILLIS)
                .map(
                        answer -> {
                            if (answer.status() != 201) {
                                throw toException(answer);
                            }
                            return json(answer).getLong("offset");
                        })
                .recover(HttpPlatformLog::toTypedFailure);
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
        long timeoutMillis = waitMillis + RESPONSE_TIMEOUT_MILLIS;
        return client.send(options(HttpMethod.GET, path), Buffer.buffer(), timeoutMillis)
                .map(HttpPlatformLog::toBatch)
                .recover(HttpPlatformLog::toTypedFailure);
    }

    @Override
    public Future<Void> close() {
        return client.close();
    }

    private RequestOptions options(HttpMethod method, String path) {
        return new RequestOptions().setMethod(method).setHost(host).setPort(port).setURI(path);
    }

    private static Batch toBatch(HttpAnswer answer) {
        if (answer.status() == 410) {
            throw new OffsetExpiredException(json(answer).getLong("first_offset"));
        }
        if (answer.status() != 200) {
            throw toException(answer);
        }
        JsonObject json = json(answer);
        List<RawRecord> records = new ArrayList<>();
        for (Object element : json.getJsonArray("records")) {
            JsonObject entry = (JsonObject) element;
            records.add(
                    new RawRecord(
                            entry.getLong("offset"),
                            entry.getLong("timestamp_ms"),
                            entry.getString("publication_id"),
                            Buffer.buffer(Base64.getDecoder().decode(entry.getString("data")))));
        }
        return new Batch(
                json.getLong("first_offset"),
                json.getLong("next_offset"),
                records,
                records.isEmpty());
    }

    private static DogwoodwoodException toException(HttpAnswer answer) {
        return switch (answer.status()) {
            case 429 ->
                    new DogwoodwoodException(
                            ErrorCode.LOG_RATE_LIMITED,
                            "The rate limit of the platform log is exceeded.");
            case 503 ->
                    new DogwoodwoodException(
                            ErrorCode.LOG_UNAVAILABLE, "The platform log is unavailable.");
            default ->
                    new DogwoodwoodException(
                            ErrorCode.LOG_PROTOCOL,
                            "The platform log returned HTTP status " + answer.status() + ".");
        };
    }

    private static <T> Future<T> toTypedFailure(Throwable failure) {
        return Future.failedFuture(LogFailures.of("The platform log", failure));
    }

    private static JsonObject json(HttpAnswer answer) {
        return new JsonObject(answer.body());
    }
}
