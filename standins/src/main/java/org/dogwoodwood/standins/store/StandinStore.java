package org.dogwoodwood.standins.store;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
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
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An in-memory store of topics with keyed records, accessed through the platform's HTTP API. Faults
 * are set through methods; requests are handled on one event loop.
 */
public final class StandinStore {

    private static final long POLL_INTERVAL_MILLIS = 10;
    private static final int OK = 200;
    private static final String DEFAULT_MAX_KB = "1024";
    private static final int BYTES_PER_KB = 1_024;

    private final Vertx vertx;
    private final Map<String, Topic> topics = new HashMap<>();
    private HttpServer server;
    private volatile boolean down;
    private volatile boolean losesResponses;
    private volatile long era;
    private final Map<String, Topic> copy = new HashMap<>();
    private final AtomicInteger calls = new AtomicInteger();
    private final List<Long> readWaits = new CopyOnWriteArrayList<>();
    private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
    private final Set<HttpConnection> silentConnections = ConcurrentHashMap.newKeySet();

    private StandinStore(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts a store on a free port of 127.0.0.1. */
    public static Future<StandinStore> start(Vertx vertx) {
        StandinStore store = new StandinStore(vertx);
        store.server =
                vertx.createHttpServer()
                        .connectionHandler(store.connections::add)
                        .requestHandler(store::onRequest);
        return store.server.listen(0, "127.0.0.1").map(ignored -> store);
    }

    /** Returns the port. */
    public int port() {
        return server.actualPort();
    }

    /** Sets whether all requests are rejected with 503. */
    public void setDown(boolean value) {
        down = value;
    }

    /** Sets whether requests take effect but get no response. */
    public void setLosesResponses(boolean value) {
        losesResponses = value;
    }

    /** Lets all open connections go silent for good; new ones work. */
    public void silenceConnections() {
        silentConnections.addAll(connections);
    }

    /** Returns how many requests have been received. */
    public int calls() {
        return calls.get();
    }

    /** Returns how long each read request allowed to wait for a record, in milliseconds. */
    public List<Long> readWaits() {
        return List.copyOf(readWaits);
    }

    /** Appends a record as an operator would; an empty value deletes the key. */
    public synchronized void put(String topic, String key, String value) {
        topic(topic).append(key, Buffer.buffer(value));
    }

    /** Compacts a topic: drops all records but the newest of each key. */
    public synchronized void compact(String topic) {
        topic(topic).compact();
    }

    /** Copies all topics; {@link #restoreCopy} brings the store back to this state. */
    public synchronized void takeCopy() {
        copy.clear();
        topics.forEach((name, topic) -> copy.put(name, topic.copied()));
    }

    /**
     * Brings the store back from the last copy: what was written since is lost, its offsets are
     * assigned again, and all responses carry the next era.
     */
    public synchronized void restoreCopy() {
        topics.clear();
        copy.forEach((name, topic) -> topics.put(name, topic.copied()));
        era++;
    }

    /** Returns the newest values of a topic as text, by key. */
    public synchronized Map<String, String> newestValues(String topic) {
        Map<String, String> values = new TreeMap<>();
        topic(topic).newest.forEach((key, entry) -> values.put(key, entry.value().toString()));
        return values;
    }

    private void onRequest(HttpServerRequest request) {
        calls.incrementAndGet();
        request.response().putHeader("Store-Era", Long.toString(era));
        if (down) {
            request.response().setStatusCode(503).end();
            return;
        }
        request.body().onSuccess(body -> handle(request, body));
    }

    private synchronized void handle(HttpServerRequest request, Buffer body) {
        Topic topic = topic(request.getParam("topic"));
        switch (request.path()) {
            case "/dogwoodwood/log-append" -> {
                long offset = topic.appendRecord(body);
                JsonObject response =
                        new JsonObject().put("offset", offset).put("end", topic.endOffset());
                respond(request, OK, response.toBuffer());
            }
            case "/dogwoodwood/log-newest" -> respond(request, OK, topic.newest().toBuffer());
            case "/dogwoodwood/log-read" -> {
                long from = Long.parseLong(request.getParam("from"));
                long waitMillis = Long.parseLong(request.getParam("waitMs", "0"));
                readWaits.add(waitMillis);
                int maxKb = Integer.parseInt(request.getParam("maxKb", DEFAULT_MAX_KB));
                read(request, topic, from, maxKb * BYTES_PER_KB, waitMillis);
            }
            default -> respond(request, 404, Buffer.buffer());
        }
    }

    private synchronized void read(
            HttpServerRequest request, Topic topic, long from, int maxBytes, long waitMillis) {
        // Long polls that began before a return from a copy read the topic as it is now.
        if (from < topic.firstOffset || from > topic.endOffset()) {
            respond(request, 410, new JsonObject().put("first", topic.firstOffset).toBuffer());
        } else if (from < topic.endOffset() || waitMillis <= 0) {
            respond(request, OK, topic.recordsFrom(from, maxBytes));
        } else {
            vertx.setTimer(
                    POLL_INTERVAL_MILLIS,
                    id -> {
                        long rest = waitMillis - POLL_INTERVAL_MILLIS;
                        read(request, topic(request.getParam("topic")), from, maxBytes, rest);
                    });
        }
    }

    private void respond(HttpServerRequest request, int status, Buffer body) {
        boolean silent = silentConnections.contains(request.connection());
        if (!losesResponses && !silent && !request.response().closed()) {
            request.response()
                    .putHeader("Store-Era", Long.toString(era))
                    .setStatusCode(status)
                    .end(body);
        }
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, ignored -> new Topic());
    }

    private record Entry(long offset, String key, Buffer value) {}

    private static final class Topic {

        private final List<Entry> entries = new ArrayList<>();
        private final Map<String, Entry> newest = new TreeMap<>();
        private long firstOffset;

        Topic copied() {
            Topic topic = new Topic();
            topic.entries.addAll(entries);
            topic.newest.putAll(newest);
            topic.firstOffset = firstOffset;
            return topic;
        }

        long endOffset() {
            return firstOffset + entries.size();
        }

        long append(String key, Buffer value) {
            Entry entry = new Entry(endOffset(), key, value);
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
            firstOffset = endOffset();
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
            return new JsonObject()
                    .put("items", items)
                    .put("hasMore", false)
                    .put("end", endOffset());
        }

        /** Returns whole records up to a size, but at least one if there is any. */
        Buffer recordsFrom(long from, int maxBytes) {
            Buffer data = Buffer.buffer().appendLong(endOffset()).appendLong(firstOffset);
            int emptyBytes = data.length();
            for (Entry entry : entries.subList((int) (from - firstOffset), entries.size())) {
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                int recordBytes = 1 + key.length + entry.value().length();
                boolean full = data.length() + Integer.BYTES + recordBytes > maxBytes;
                if (full && data.length() > emptyBytes) {
                    break;
                }
                data.appendInt(recordBytes)
                        .appendUnsignedByte((short) key.length)
                        .appendBytes(key)
                        .appendBuffer(entry.value());
            }
            return data;
        }
    }
}
