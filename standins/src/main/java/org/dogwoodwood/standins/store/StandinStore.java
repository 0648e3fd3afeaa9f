package org.dogwoodwood.standins.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Topics with keyed records in memory, over the platform's HTTP calls. Faults are set by methods;
 * all of it is used on one event loop.
 */
public final class StandinStore {

    private static final long POLL_MILLIS = 10;
    private static final int OK = 200;

    private final Vertx vertx;
    private final Map<String, Topic> topics = new HashMap<>();
    private HttpServer server;
    private volatile boolean down;
    private volatile boolean losesResponses;
    private final AtomicInteger calls = new AtomicInteger();
    private final List<Long> readWaits = new CopyOnWriteArrayList<>();

    private StandinStore(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts a store on a port of its own. */
    public static Future<StandinStore> start(Vertx vertx) {
        StandinStore store = new StandinStore(vertx);
        store.server = vertx.createHttpServer().requestHandler(store::onRequest);
        return store.server.listen(0, "127.0.0.1").map(ignored -> store);
    }

    /** Returns the port. */
    public int port() {
        return server.actualPort();
    }

    /** Sets whether all calls are refused with 503. */
    public void setDown(boolean value) {
        down = value;
    }

    /** Sets whether calls take effect without an answer. */
    public void setLosesResponses(boolean value) {
        losesResponses = value;
    }

    /** Returns how many calls have arrived. */
    public int calls() {
        return calls.get();
    }

    /** Returns how long each read was ready to wait for a record, in milliseconds. */
    public List<Long> readWaits() {
        return List.copyOf(readWaits);
    }

    /** Writes a record as the operator does; an empty value drops the key. */
    public synchronized void put(String topic, String key, String value) {
        topic(topic).append(key, Buffer.buffer(value));
    }

    /** Drops all records but the newest of each key. */
    public synchronized void compact(String topic) {
        topic(topic).compact();
    }

    private void onRequest(HttpServerRequest request) {
        calls.incrementAndGet();
        if (down) {
            request.response().setStatusCode(503).end();
            return;
        }
        request.body().onSuccess(body -> answer(request, body));
    }

    private synchronized void answer(HttpServerRequest request, Buffer body) {
        Topic topic = topic(request.getParam("topic"));
        switch (request.path()) {
            case "/dogwoodwood/log-append" -> {
                long offset = topic.appendRecord(body);
                JsonObject answer = new JsonObject().put("offset", offset).put("end", topic.end());
                finish(request, OK, answer.toBuffer());
            }
            case "/dogwoodwood/log-newest" -> finish(request, OK, topic.newest().toBuffer());
            case "/dogwoodwood/log-read" -> {
                long from = Long.parseLong(request.getParam("from"));
                long waitMillis = Long.parseLong(request.getParam("waitMs", "0"));
                readWaits.add(waitMillis);
                read(request, topic, from, waitMillis);
            }
            default -> finish(request, 404, Buffer.buffer());
        }
    }

    private synchronized void read(
            HttpServerRequest request, Topic topic, long from, long waitMillis) {
        if (from < topic.first) {
            finish(request, 410, new JsonObject().put("first", topic.first).toBuffer());
        } else if (from < topic.end() || waitMillis <= 0) {
            finish(request, OK, topic.recordsFrom(from));
        } else {
            vertx.setTimer(POLL_MILLIS, id -> read(request, topic, from, waitMillis - POLL_MILLIS));
        }
    }

    private void finish(HttpServerRequest request, int status, Buffer body) {
        if (!losesResponses && !request.response().closed()) {
            request.response().setStatusCode(status).end(body);
        }
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, ignored -> new Topic());
    }

    private record Entry(long offset, String key, Buffer value) {}

    private static final class Topic {

        private final List<Entry> entries = new ArrayList<>();
        private final Map<String, Entry> newest = new TreeMap<>();
        private long first;

        long end() {
            return first + entries.size();
        }

        long append(String key, Buffer value) {
            Entry entry = new Entry(end(), key, value);
            entries.add(entry);
            if (value.length() == 0) {
                newest.remove(key);
            } else {
                newest.put(key, entry);
            }
            return entry.offset();
        }

        long appendRecord(Buffer record) {
            int keyLength = record.getUnsignedByte(4);
            String key = record.getString(5, 5 + keyLength);
            return append(key, record.getBuffer(5 + keyLength, record.length()));
        }

        void compact() {
            first = end();
            entries.clear();
        }

        JsonObject newest() {
            JsonArray items = new JsonArray();
            for (Entry entry : newest.values()) {
                items.add(
                        new JsonObject()
                                .put("key", entry.key())
                                .put(
                                        "value",
                                        Base64.getEncoder()
                                                .encodeToString(entry.value().getBytes()))
                                .put("offset", entry.offset()));
            }
            return new JsonObject().put("items", items).put("hasMore", false).put("end", end());
        }

        Buffer recordsFrom(long from) {
            Buffer data = Buffer.buffer().appendLong(end()).appendLong(first);
            for (Entry entry : entries) {
                if (entry.offset() >= from) {
                    byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                    data.appendInt(1 + key.length + entry.value().length())
                            .appendUnsignedByte((short) key.length)
                            .appendBytes(key)
                            .appendBuffer(entry.value());
                }
            }
            return data;
        }
    }
}
