package org.dogwoodwood.standins.log;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The stand-in platform log as an HTTP server on 127.0.0.1; all state is lost on stop. */
public final class StandinLog {

    private static final Pattern RECORDS_PATH = Pattern.compile("/v1/streams/([^/]+)/records");
    private static final String HOST = "127.0.0.1";
    private static final long EXPIRY_INTERVAL_MILLIS = 50;
    private static final int DEFAULT_READ_MAX = 1_000;
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final Vertx vertx;
    private final StandinLogOptions options;
    private final AppendRateLimit rateLimit;
    private final Map<String, LogStream> streams = new HashMap<>();
    private final List<PendingRead> pendingReads = new ArrayList<>();
    private LogFaults faults = LogFaults.none();
    private long appends;
    private long reads;
    private long rateLimited;
    private HttpServer server;

    private StandinLog(Vertx vertx, StandinLogOptions options) {
        this.vertx = vertx;
        this.options = options;
        this.rateLimit = AppendRateLimit.of(options.appendsPerSecond(), System.nanoTime());
    }

    /**
     * Starts a log.
     *
     * @param vertx the Vert.x instance, not null; the caller closes it
     * @param options the options, not null
     * @return the log once it is listening, or a failure if the port is in use
     */
    public static Future<StandinLog> start(Vertx vertx, StandinLogOptions options) {
        StandinLog log = new StandinLog(vertx, options);
        log.server = vertx.createHttpServer().requestHandler(log::onRequest);
        if (options.retentionMillis() > 0) {
            vertx.setPeriodic(EXPIRY_INTERVAL_MILLIS, id -> log.expireOldRecords());
        }
        return log.server.listen(options.port(), HOST).map(listening -> log);
    }

    /** Stops the server; the future completes when the port is free. */
    public Future<Void> stop() {
        return server.close();
    }

    /** Returns the port that the log listens on. */
    public int port() {
        return server.actualPort();
    }

    private void onRequest(HttpServerRequest request) {
        if (request.path().equals("/control")) {
            request.body().onSuccess(body -> onControl(request, body));
            return;
        }
        if (faults.down()) {
            respond(request, 503, errorBody("The log is down."));
            return;
        }
        Matcher matcher = RECORDS_PATH.matcher(request.path());
        if (!matcher.matches()) {
            respond(request, 404, errorBody("Use /v1/streams/{stream}/records."));
        } else if (request.method().equals(HttpMethod.POST)) {
            String stream = matcher.group(1);
            request.body().onSuccess(body -> append(request, stream, body.getBytes()));
        } else if (request.method().equals(HttpMethod.GET)) {
            read(request, matcher.group(1));
        } else {
            respond(request, 405, errorBody("Use GET or POST."));
        }
    }

    private void onControl(HttpServerRequest request, Buffer body) {
        if (request.method().equals(HttpMethod.POST)) {
            try {
                applyControl(new JsonObject(body));
            } catch (RuntimeException e) {
                send(request, 400, errorBody("Send a JSON object with the documented types."));
                return;
            }
        }
        send(request, 200, status());
    }

    private void applyControl(JsonObject change) {
        faults = faults.with(change);
        Long expireBefore = change.getLong("expire_before");
        if (expireBefore != null) {
            String only = change.getString("stream");
            streams.forEach(
                    (name, stream) -> {
                        if (only == null || only.equals(name)) {
                            stream.expireBefore(expireBefore);
                        }
                    });
        }
        failPendingReadsIfDown();
    }

    private void failPendingReadsIfDown() {
        if (faults.down()) {
            List<PendingRead> waiting = List.copyOf(pendingReads);
            waiting.forEach(read -> endRead(read, 503, errorBody("The log is down.")));
        }
    }

    private JsonObject status() {
        JsonObject nextOffsets = new JsonObject();
        streams.forEach((name, stream) -> nextOffsets.put(name, stream.nextOffset()));
        return new JsonObject()
                .put("down", faults.down())
                .put("delay_ms", faults.delayMillis())
                .put("lose_answers", faults.responsesToLose())
                .put("down_after_append", faults.downAfterAppend())
                .put("deduplicate", faults.deduplicate())
                .put("appends", appends)
                .put("reads", reads)
                .put("rate_limited", rateLimited)
                .put("next_offsets", nextOffsets);
    }

    private void append(HttpServerRequest request, String streamName, byte[] data) {
        String publicationId = request.getHeader("Publication-Id");
        if (publicationId == null || publicationId.isBlank()) {
            respond(request, 400, errorBody("Send a Publication-Id header."));
            return;
        }
        if (!rateLimit.tryAcquire(System.nanoTime())) {
            rateLimited++;
            respond(request, 429, errorBody("Over the append rate."));
            return;
        }
        LogStream stream = streams.computeIfAbsent(streamName, name -> LogStream.create());
        Optional<Long> earlier =
                faults.deduplicate() ? stream.findOffset(publicationId) : Optional.empty();
        long offset =
                earlier.orElseGet(
                        () -> stream.append(publicationId, data, System.currentTimeMillis()));
        appends++;
        completePendingReads(streamName);
        boolean responseIsLost = faults.responsesToLose() > 0;
        faults = faults.afterAppend();
        failPendingReadsIfDown();
        if (responseIsLost) {
            request.connection().close();
            return;
        }
        JsonObject body =
                new JsonObject().put("offset", offset).put("duplicate", earlier.isPresent());
        respond(request, 201, body);
    }

    private void read(HttpServerRequest request, String streamName) {
        long from;
        int max;
        long waitMillis;
        try {
            from = Long.parseLong(request.getParam("from", "0"));
            max = Integer.parseInt(request.getParam("max", Integer.toString(DEFAULT_READ_MAX)));
            waitMillis = Long.parseLong(request.getParam("wait_ms", "0"));
        } catch (NumberFormatException e) {
            respond(request, 400, errorBody("Give from, max and wait_ms as integers."));
            return;
        }
        reads++;
        LogStream stream = streams.computeIfAbsent(streamName, name -> LogStream.create());
        PendingRead pending = new PendingRead(request, streamName, from, max);
        if (from < stream.nextOffset() || waitMillis <= 0) {
            completeRead(pending);
            return;
        }
        pendingReads.add(pending);
        request.connection().closeHandler(closed -> pendingReads.remove(pending));
        vertx.setTimer(
                Math.min(waitMillis, MAX_WAIT_MILLIS),
                id -> {
                    if (pendingReads.contains(pending)) {
                        completeRead(pending);
                    }
                });
    }

    private void completePendingReads(String streamName) {
        List<PendingRead> waiting = List.copyOf(pendingReads);
        for (PendingRead read : waiting) {
            if (read.stream().equals(streamName)) {
                completeRead(read);
            }
        }
    }

    private void completeRead(PendingRead read) {
        LogStream stream = streams.get(read.stream());
        JsonObject body = new JsonObject().put("first_offset", stream.firstOffset());
        if (read.from() < stream.firstOffset()) {
            endRead(read, 410, body);
            return;
        }
        JsonArray records = new JsonArray();
        long next = read.from();
        for (StoredRecord entry : stream.read(read.from(), read.max())) {
            records.add(
                    new JsonObject()
                            .put("offset", entry.offset())
                            .put("timestamp_ms", entry.timestampMillis())
                            .put("publication_id", entry.publicationId())
                            .put("data", Base64.getEncoder().encodeToString(entry.data())));
            next = entry.offset() + 1;
        }
        endRead(read, 200, body.put("next_offset", next).put("records", records));
    }

    private void endRead(PendingRead read, int status, JsonObject body) {
        pendingReads.remove(read);
        respond(read.request(), status, body);
    }

    private void respond(HttpServerRequest request, int status, JsonObject body) {
        if (faults.delayMillis() > 0) {
            vertx.setTimer(faults.delayMillis(), id -> send(request, status, body));
        } else {
            send(request, status, body);
        }
    }

    private static void send(HttpServerRequest request, int status, JsonObject body) {
        if (request.response().closed() || request.response().ended()) {
            return;
        }
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }

    private void expireOldRecords() {
        long oldest = System.currentTimeMillis() - options.retentionMillis();
        streams.values().forEach(stream -> stream.expireOlderThan(oldest));
    }

    private static JsonObject errorBody(String message) {
        return new JsonObject().put("error", message);
    }

    private record PendingRead(HttpServerRequest request, String stream, long from, int max) {}
}
