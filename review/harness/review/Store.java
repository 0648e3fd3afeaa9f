package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: topics of keyed records with one partition each. */
final class Store extends Server {

    private static final int MAX_WAIT_MILLIS = 30_000;
    private static final String DEFAULT_MAX_KB = "1024";
    private static final int FIRST_RECORD_POSITION = 16;
    private static final String OPERATOR_TOPIC = "keyed.op";

    private record Entry(long offset, String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Record record;

    Store(String host, int port, Record record) throws IOException {
        super(host, port);
        this.record = record;
    }

    /** Writes a record as the operator; an empty value removes the key. */
    synchronized void put(String key, String value) {
        append(OPERATOR_TOPIC, key, value.getBytes(StandardCharsets.UTF_8));
        record.write("operator writes op/%s, acknowledged: %s", key, summary(value));
    }

    private static String summary(String value) {
        return value.length() <= 40 ? value : value.substring(0, 40) + "...";
    }

    @Override
    void onRequest(Message request, Connection connection)
            throws IOException, InterruptedException {
        Map<String, String> query = query(request.target());
        String topic = query.get("topic");
        switch (request.path()) {
            case "/dogwoodwood/log-append" -> connection.send(append(topic, request.body()));
            case "/dogwoodwood/log-newest" -> connection.send(newest(topic));
            case "/dogwoodwood/log-read" -> connection.send(read(topic, query, connection));
            default -> connection.send(Message.of("HTTP/1.1 404 Not Found"));
        }
    }

    private synchronized Message append(String topic, byte[] body) {
        ByteBuffer records = ByteBuffer.wrap(body);
        long first = topic(topic).size();
        while (records.hasRemaining()) {
            int length = records.getInt();
            byte[] key = new byte[records.get() & 0xff];
            records.get(key);
            byte[] value = new byte[length - 1 - key.length];
            records.get(value);
            append(topic, new String(key, StandardCharsets.UTF_8), value);
        }
        return json("{\"offset\":" + first + ",\"end\":" + topic(topic).size() + "}");
    }

    private synchronized void append(String topic, String key, byte[] value) {
        topic(topic).add(new Entry(topic(topic).size(), key, value));
        notifyAll();
    }

    private synchronized Message newest(String topic) {
        Map<String, Entry> newest = new TreeMap<>();
        for (Entry entry : topic(topic)) {
            newest.remove(entry.key());
            if (entry.value().length > 0) {
                newest.put(entry.key(), entry);
            }
        }
        List<String> items = new ArrayList<>();
        for (Entry entry : newest.values()) {
            String value = Base64.getEncoder().encodeToString(entry.value());
            items.add(
                    "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                            .formatted(entry.key(), value, entry.offset()));
        }
        return json(
                "{\"items\":[%s],\"hasMore\":false,\"end\":%d}"
                        .formatted(String.join(",", items), topic(topic).size()));
    }

    private synchronized Message read(
            String topic, Map<String, String> query, Connection connection)
            throws IOException, InterruptedException {
        int from = Integer.parseInt(query.get("from"));
        long waitMillis = Long.parseLong(query.getOrDefault("waitMs", "0"));
        long endNanos = System.nanoTime() + Math.min(waitMillis, MAX_WAIT_MILLIS) * 1_000_000L;
        long leftMillis = waitMillis;
        while (topic(topic).size() <= from && leftMillis > 0 && !connection.isSilent()) {
            wait(Math.max(1, leftMillis));
            leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic(topic).size());
        out.writeLong(0);
        int maxBytes = Integer.parseInt(query.getOrDefault("maxKb", DEFAULT_MAX_KB)) * 1_024;
        int end = topic(topic).size();
        for (Entry entry : topic(topic).subList(Math.min(from, end), end)) {
            boolean full = bytes.size() + entry.key().length() + entry.value().length > maxBytes;
            if (full && bytes.size() > FIRST_RECORD_POSITION) {
                break;
            }
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return Message.of("HTTP/1.1 200 OK").withBody(bytes.toByteArray());
    }

    private List<Entry> topic(String name) {
        return topics.computeIfAbsent(name, any -> new ArrayList<>());
    }

    private static Message json(String text) {
        return Message.of("HTTP/1.1 200 OK")
                .with("Content-Type", "application/json")
                .withBody(text);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                values.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
        }
        return values;
    }
}
