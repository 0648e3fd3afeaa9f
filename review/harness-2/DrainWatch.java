import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send requests at all machines, and what reaches a backend that has said it leaves.
 * The rule DRAIN counts only requests that are taken and sent on by machines in touch.
 */
final class DrainWatch {

    /** The bound {@code drain} of the settings, in milliseconds. */
    static final long DRAIN_MILLIS = 2_000;

    /** The bound {@code stableWindow} of the settings, in milliseconds. */
    static final long STABLE_WINDOW_MILLIS = 3_000;

    private static final int DEADLINE_MILLIS = 1_500;
    private static final long PAUSE_MILLIS = 25;

    private final Record record;
    private final Deployment deployment;
    private final String service;
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final AtomicInteger lateRuns = new AtomicInteger();
    private final Map<Integer, Integer> unsafeStatuses = new ConcurrentHashMap<>();
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final List<Thread> clients = new ArrayList<>();
    private volatile long countedFrom = Long.MAX_VALUE;

    DrainWatch(Record record, Deployment deployment, String service) {
        this.record = record;
        this.deployment = deployment;
        this.service = service;
    }

    /** Returns a backend that tells this object of its runs. */
    Backend backend(String id, Node machine) {
        return new Backend(id, machine, 18, record) {
            @Override
            void onRun(HttpMessage request, String requestId) {
                onRunAt(id, request, requestId);
            }
        };
    }

    /** Sets the time from which on requests that clients send must not reach the backend. */
    void countFrom(long millis) {
        countedFrom = millis;
        record.write("requests sent from %.3f s on must not reach the backend", millis / 1000.0);
    }

    /** Starts a client with safe and one with unsafe requests at each machine. */
    void startClients() {
        for (Node node : deployment.nodes) {
            clients.add(Threads.run(() -> send(node, "GET", Deployment.SAFE_PATH)));
            clients.add(Threads.run(() -> send(node, "POST", Deployment.UNSAFE_PATH)));
        }
    }

    void stopClients() throws InterruptedException {
        running.set(false);
        for (Thread client : clients) {
            client.join(DEADLINE_MILLIS + 1_000);
        }
    }

    int lateRuns() {
        return lateRuns.get();
    }

    /** Writes how the unsafe requests that were sent in the counted time have ended. */
    void writeUnsafeStatuses() {
        record.write(
                "%d runs too late; unsafe requests of that time by status: %s",
                lateRuns.get(), unsafeStatuses);
    }

    private void send(Node node, String method, String path) throws InterruptedException {
        while (running.get()) {
            String id = Client.newId();
            long sent = Record.now();
            sentAt.put(id, sent);
            byte[] body = method.equals("POST") ? "{\"outing\":1}".getBytes() : new byte[0];
            Client.Answer answer =
                    Client.request(
                            node, id, method, Deployment.HOST, path + service + "/2f",
                            DEADLINE_MILLIS, body);
            if (sent >= countedFrom) {
                if (method.equals("POST")) {
                    unsafeStatuses.merge(answer.status(), 1, Integer::sum);
                }
                if (answer.status() != 200) {
                    record.write(
                            "%s %s sent to %s at %.3f s: %s", id, method, node.name, sent / 1000.0,
                            answer.status() > 0 ? "answered " + answer.status() : "no answer");
                }
            }
            Thread.sleep(PAUSE_MILLIS);
        }
    }

    private void onRunAt(String backend, HttpMessage request, String requestId) {
        Long sent = sentAt.get(requestId);
        if (backend.equals("i-7f3a91c2") && sent != null && sent >= countedFrom) {
            int count = lateRuns.incrementAndGet();
            record.write(
                    "%s %s, sent at %.3f s, runs at %s, which has left (%d)", requestId,
                    request.method(), sent / 1000.0, backend, count);
        }
    }
}
