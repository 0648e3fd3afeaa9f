package org.dogwoodwood.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One process of a {@link CrashingTarget}; serves one request at a time on a connection. */
final class TargetProcess {

    /** A request to a path that begins so crashes the process that begins to run it. */
    static final String CRASHING_PATH = "/crashing";

    private static final int BACKLOG = 256;
    private static final int HANG_CHECK_MILLIS = 20;
    private static final String BODY = "the whole answer";

    private final CrashingTarget target;
    private final String instance;
    private final long startedMillis;
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Semaphore slots = new Semaphore(CrashingTarget.SLOTS, true);
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile boolean closed;
    private volatile boolean hanging;
    private volatile boolean draining;

    private TargetProcess(
            CrashingTarget target, String instance, long startedMillis, ServerSocket server) {
        this.target = target;
        this.instance = instance;
        this.startedMillis = startedMillis;
        this.server = server;
    }

    /**
     * Starts a process at the address of its VM.
     *
     * @param instance its name, as its heartbeats tell it
     * @param startedMillis its start, as its heartbeats tell it
     */
    static TargetProcess start(CrashingTarget target, String instance, long startedMillis)
            throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        int port = target.vm().target().port();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        TargetProcess process = new TargetProcess(target, instance, startedMillis, server);
        Daemons.start(instance, process::accept);
        return process;
    }

    String instance() {
        return instance;
    }

    long startedMillis() {
        return startedMillis;
    }

    int nextSequence() {
        return sequence.incrementAndGet();
    }

    boolean isDraining() {
        return draining;
    }

    void setDraining() {
        draining = true;
    }

    /** Lets the process answer nothing, with its connections open. */
    void hang() {
        hanging = true;
    }

    void close() throws IOException {
        closed = true;
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                connections.add(socket);
                Daemons.start(instance, () -> serve(socket));
            } catch (IOException e) {
                // The process has ended.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (!closed) {
                HttpMessage request = HttpMessage.read(in).orElse(null);
                if (request == null) {
                    return;
                }
                awaitEndOfHang();
                byte[] answer = answer(request);
                awaitEndOfHang();
                socket.getOutputStream().write(answer);
            }
        } catch (IOException | InterruptedException e) {
            // The process has ended, or its peer has closed the connection.
        } finally {
            connections.remove(socket);
        }
    }

    private void awaitEndOfHang() throws InterruptedException {
        while (hanging && !closed) {
            Thread.sleep(HANG_CHECK_MILLIS);
        }
    }

    private byte[] answer(HttpMessage request) throws IOException, InterruptedException {
        String id = request.field(PlatformNames.REQUEST_ID).orElse(null);
        if (request.path().equals(PlatformNames.HEALTH_PATH)) {
            return text(draining ? "503 Draining" : "200 OK", "", "");
        }
        if (id == null) {
            return text("400 No id", PlatformNames.NOT_EXECUTED + ": 1\r\n", "");
        }
        String echo = PlatformNames.REQUEST_ID + ": " + id + "\r\n";
        boolean other =
                request.field(PlatformNames.EXPECT_INSTANCE)
                        .filter(expected -> !expected.equals(instance))
                        .isPresent();
        if (other) {
            return text("421 Misdirected", echo, "");
        }
        long patience =
                request.field(PlatformNames.DEADLINE_MILLIS).map(Long::parseLong).orElse(1_000L);
        if (!slots.tryAcquire(patience, TimeUnit.MILLISECONDS)) {
            return text("503 Full", echo + PlatformNames.NOT_EXECUTED + ": 1\r\n", "");
        }
        try {
            run(request);
        } finally {
            slots.release();
        }
        String stamp = PlatformNames.RESPONSE_STAMP + ": " + instance + "." + id + "\r\n";
        return text("200 OK", echo + stamp, BODY);
    }

    private void run(HttpMessage request) throws IOException, InterruptedException {
        target.onRun();
        if (request.path().startsWith(CRASHING_PATH)) {
            target.crashAt(request.path());
        }
        Thread.sleep(target.workMillis());
    }

    private byte[] text(String status, String fields, String body) {
        int running = CrashingTarget.SLOTS - slots.availablePermits();
        String head =
                "HTTP/1.1 "
                        + status
                        + "\r\n"
                        + PlatformNames.INSTANCE_ID
                        + ": "
                        + instance
                        + "\r\n"
                        + PlatformNames.SERVER_LOAD
                        + ": "
                        + running
                        + ",0,"
                        + CrashingTarget.SLOTS
                        + "\r\n"
                        + fields
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.ISO_8859_1);
    }
}
