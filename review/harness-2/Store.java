import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store: keyed topics in memory, with the calls that the nodes make. */
final class Store {

    private record Entry(String key, byte[] value) {}

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private volatile boolean down;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 64);
        server.setExecutor(threads);
        server.createContext("/dogwoodwood/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    /** While the store is down, it answers each call with 503: nothing was done. */
    void setDown(boolean value) {
        down = value;
    }

    /** Writes a record as the operator does; the return is the acknowledgement. */
    synchronized void put(String topic, String key, String value) {
        append(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }

    private synchronized long append(String topic, String key, byte[] value) {
        List<Entry> entries = topics.computeIfAbsent(topic, ignored -> new ArrayList<>());
        entries.add(new Entry(key, value));
        notifyAll();
        return entries.size() - 1;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (down) {
                answer(exchange, 503, "{}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            Map<String, String> query = new HashMap<>();
            for (String pair : exchange.getRequestURI().getQuery().split("&")) {
                query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
            }
            String topic = query.get("topic");
            String path = exchange.getRequestURI().getPath();
            if (path.endsWith("log-append")) {
                ByteBuffer record = ByteBuffer.wrap(body);
                long first = -1;
                while (record.hasRemaining()) {
                    byte[] content = new byte[record.getInt()];
                    record.get(content);
                    int keyLength = content[0] & 0xff;
                    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
                    byte[] value = new byte[content.length - 1 - keyLength];
                    System.arraycopy(content, 1 + keyLength, value, 0, value.length);
                    long offset = append(topic, key, value);
                    first = first < 0 ? offset : first;
                }
                String text = "{\"offset\":" + first + ",\"end\":" + (first + 1) + "}";
                answer(exchange, 200, text.getBytes(StandardCharsets.UTF_8));
            } else if (path.endsWith("log-newest")) {
                answer(exchange, 200, newest(topic).getBytes(StandardCharsets.UTF_8));
            } else if (path.endsWith("log-read")) {
                long wait = Long.parseLong(query.getOrDefault("waitMs", "0"));
                answer(exchange, 200, read(topic, Integer.parseInt(query.get("from")), wait));
            } else {
                answer(exchange, 404, new byte[0]);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String newest(String topic) {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        Map<String, Integer> newest = new TreeMap<>();
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).value().length == 0) {
                newest.remove(entries.get(i).key());
            } else {
                newest.put(entries.get(i).key(), i);
            }
        }
        List<String> items = new ArrayList<>();
        newest.forEach(
                (key, offset) -> {
                    byte[] value = entries.get(offset).value();
                    String text = Base64.getEncoder().encodeToString(value);
                    items.add(
                            "{\"key\":\"" + key + "\",\"value\":\"" + text + "\",\"offset\":"
                                    + offset + "}");
                });
        return "{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"end\":"
                + entries.size() + "}";
    }

    private synchronized byte[] read(String topic, int from, long waitMillis)
            throws InterruptedException, IOException {
        List<Entry> entries = topics.computeIfAbsent(topic, ignored -> new ArrayList<>());
        long until = System.nanoTime() + waitMillis * 1_000_000;
        for (long left = waitMillis; entries.size() <= from && left > 0; ) {
            wait(left);
            left = (until - System.nanoTime()) / 1_000_000;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value());
        }
        return bytes.toByteArray();
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }
}
