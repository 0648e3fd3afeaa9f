import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound backend: one request at a time on a connection, heartbeats to its own machine. */
class Backend {

    static final String HEALTH_PATH = "/health";

    final String id;
    final String service;
    final Node machine;
    final int slots;
    final long born = System.currentTimeMillis();
    final Record record;
    /** The number of runs of each request, by its id. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    final AtomicInteger sequence = new AtomicInteger();
    private final Semaphore free;
    private long coldUntil;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket server;
    private volatile boolean beating;
    private volatile boolean leaving;
    volatile long workMillis = 30;
    volatile int bodyBytes = 1_500;

    Backend(String id, Node machine, int slots, Record record) {
        this.id = id;
        this.service = machine.service;
        this.machine = machine;
        this.slots = slots;
        this.record = record;
        this.free = new Semaphore(slots, true);
    }

    void start() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(
                new InetSocketAddress(InetAddress.getByName(machine.ip), machine.ports.app()), 256);
        Threads.run(this::accept);
        record.write("backend %s of %s starts at %s", id, service, machine.appAddress());
    }

    /** Tells that the backend is cold for some time after its start. */
    void setCold(long millis) {
        coldUntil = Record.now() + millis;
    }

    private long coldLeft() {
        return Math.max(0, coldUntil - Record.now());
    }

    /** Sends a heartbeat every 1.5 s until {@link #stopBeats}. */
    void startBeats() {
        beating = true;
        Threads.run(
                () -> {
                    while (beating) {
                        beat(leaving ? "draining" : "ready");
                        Thread.sleep(1_500);
                    }
                });
    }

    void stopBeats() {
        beating = false;
    }

    void setLeaving() {
        leaving = true;
    }

    /** Sends one heartbeat and returns the status of its answer, 0 without one. */
    int beat(String state) {
        return send(beatBody(state, sequence.incrementAndGet()), state);
    }

    String beatBody(String state, int seq) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + machine.appAddress()
                + "\",\"zone\":\"" + machine.zone + "\",\"version\":\"v1\",\"slots\":" + slots
                + ",\"state\":\"" + state + "\",\"coldLeft\":\"" + coldLeft() + "ms\",\"seq\":" + seq
                + ",\"born\":" + born + "}";
    }

    int send(String body, String what) {
        int status =
                Client.call(
                        machine.control(), "PUT", "/dogwoodwood/instances/" + id, body, 1_000);
        if (!what.equals("ready") || status != 200) {
            record.write("beat of %s (%s): answered %d", id, what, status);
        }
        return status;
    }

    /** Says that the backend leaves; returns the status of the answer. */
    int delete() {
        int status =
                Client.call(machine.control(), "DELETE", "/dogwoodwood/instances/" + id, "", 1_000);
        record.write("DELETE of %s: answered %d", id, status);
        return status;
    }

    /** Ends as a process does: the port and all connections close. */
    void stop() {
        beating = false;
        record.write("backend %s ends", id);
        closeQuietly(server);
        connections.forEach(Backend::closeQuietly);
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            if (resource != null) {
                resource.close();
            }
        } catch (Exception e) {
            // Nothing is left to be closed.
        }
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            connections.add(socket);
            Threads.run(
                    () -> {
                        try (socket) {
                            socket.setTcpNoDelay(true);
                            serve(socket);
                        } finally {
                            connections.remove(socket);
                        }
                    });
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        for (HttpMessage head = HttpMessage.readHead(in); head != null;
                head = HttpMessage.readHead(in)) {
            head.readBody(in);
            answer(head, socket.getOutputStream());
        }
    }

    private void answer(HttpMessage request, OutputStream out)
            throws IOException, InterruptedException {
        if (request.path().equals(HEALTH_PATH)) {
            String status = leaving ? "503 Service Unavailable" : "200 OK";
            String cold = "X-Dogwoodwood-Cold-Ms: " + coldLeft() + "\r\n";
            write(
                    out, status, "X-Dogwoodwood-Instance-Id: " + id + "\r\n" + cold + load(),
                    new byte[0]);
            return;
        }
        String requestId = request.header("X-Dogwoodwood-Request-Id");
        String expected = request.header("X-Dogwoodwood-Expect-Instance");
        if (requestId == null) {
            write(out, "400 Bad Request", "X-Dogwoodwood-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        String echo = "X-Dogwoodwood-Request-Id: " + requestId + "\r\n";
        if (expected != null && !expected.equals(id)) {
            String names = echo + "X-Dogwoodwood-Instance-Id: " + id + "\r\n";
            record.write("%s at %s: 421, expects %s", requestId, id, expected);
            write(out, "421 Misdirected Request", names, new byte[0]);
            return;
        }
        String deadline = request.header("X-Dogwoodwood-Deadline-Ms");
        long patience = deadline == null ? 3_000 : (long) Double.parseDouble(deadline);
        if (!free.tryAcquire(Math.max(1, patience), TimeUnit.MILLISECONDS)) {
            write(
                    out, "503 Service Unavailable", echo + "X-Dogwoodwood-Not-Executed: 1\r\n",
                    new byte[0]);
            return;
        }
        try {
            runs.merge(requestId, 1, Integer::sum);
            onRun(request, requestId);
            Thread.sleep(workMillis);
        } finally {
            free.release();
        }
        String stamp = "X-Dogwoodwood-Response-Stamp: " + id + "." + requestId + "\r\n";
        write(out, "200 OK", echo + stamp + load(), body(request));
    }

    /** Called when a run begins. */
    void onRun(HttpMessage request, String requestId) {
        record.write("%s runs at %s", requestId, id);
    }

    byte[] body(HttpMessage request) {
        return new byte[bodyBytes];
    }

    /** Returns a fourth figure of the load, after a comma; none by default. */
    String speed() {
        return "";
    }

    private String load() {
        int running = slots - free.availablePermits();
        // As in the example of the health check: running, waiting, slots.
        String figures = running + "," + free.getQueueLength() + "," + slots;
        return "X-Dogwoodwood-Server-Load: " + figures + speed() + "\r\n";
    }

    static void write(OutputStream out, String status, String headers, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length
                        + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }
}
