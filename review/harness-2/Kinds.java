import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Kinds of requests that clients send at a fixed rate, and how often each is served. */
final class Kinds {

    /** Returns the path of the next request of a kind. */
    interface Path {
        String next();
    }

    private static final int REPORT_SECONDS = 5;

    private final Record record;
    private final Deployment deployment;
    private final int deadlineMillis;
    private final Map<String, AtomicInteger> asked = new LinkedHashMap<>();
    private final Map<String, AtomicInteger> served = new LinkedHashMap<>();
    private final Map<String, Integer> recent = new ConcurrentHashMap<>();
    private final ScheduledExecutorService clients = Executors.newScheduledThreadPool(2);
    private final AtomicBoolean sending = new AtomicBoolean(true);

    Kinds(Record record, Deployment deployment, int deadlineMillis) {
        this.record = record;
        this.deployment = deployment;
        this.deadlineMillis = deadlineMillis;
        Threads.run(this::report);
    }

    /** Lets clients at each machine send requests of a kind, one in each interval. */
    void send(String kind, String method, Path path, int intervalMillis) {
        asked.put(kind, new AtomicInteger());
        served.put(kind, new AtomicInteger());
        for (Node node : deployment.nodes) {
            clients.scheduleAtFixedRate(
                    () -> Threads.run(() -> sendOne(kind, node, method, path.next())), 0,
                    intervalMillis, TimeUnit.MILLISECONDS);
        }
    }

    void stop() throws InterruptedException {
        sending.set(false);
        clients.shutdown();
        Thread.sleep(deadlineMillis + 500);
    }

    /** Returns whether a kind is starved: served less than a quarter as often as all requests. */
    boolean isStarved(String kind) {
        double all = sum(served) / sum(asked);
        asked.forEach(
                (name, count) ->
                        record.write("%s: %d of %d served", name, served.get(name).get(), count.get()));
        double share = served.get(kind).get() / (double) asked.get(kind).get();
        record.write("share served: %s %.3f, all %.3f", kind, share, all);
        return share < all / 4;
    }

    private void sendOne(String kind, Node node, String method, String path) {
        if (!sending.get()) {
            return;
        }
        asked.get(kind).incrementAndGet();
        byte[] body = method.equals("GET") ? new byte[0] : ("{\"for\":\"" + path + "\"}").getBytes();
        Client.Answer answer =
                Client.request(node, method, Deployment.HOST, path, deadlineMillis, body);
        recent.merge(kind + " " + answer.status(), 1, Integer::sum);
        if (answer.status() == 200) {
            served.get(kind).incrementAndGet();
        }
    }

    private void report() throws InterruptedException {
        while (sending.get()) {
            Thread.sleep(REPORT_SECONDS * 1_000L);
            Map<String, Integer> copy = new TreeMap<>(recent);
            recent.clear();
            record.write("answers of the last %d s by kind and status: %s", REPORT_SECONDS, copy);
        }
    }

    private static double sum(Map<String, AtomicInteger> counts) {
        return counts.values().stream().mapToInt(AtomicInteger::get).sum();
    }
}
