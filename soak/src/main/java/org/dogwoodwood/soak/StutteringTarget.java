package org.dogwoodwood.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/** A target that sends some answers twice, and loses, cuts and spoils others. */
final class StutteringTarget {

    static final int SLOTS = 6;

    private static final int BACKLOG = 100;

    private final String name;
    private final SoakOptions options;
    private final AnswerLog log;
    private final Counts counts;
    private final ScheduledExecutorService lateCopies;
    private final ServerSocket server;
    private final SplittableRandom random;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final Map<String, byte[]> heldForAttempt = new ConcurrentHashMap<>();

    private StutteringTarget(
            String name,
            ServerSocket server,
            SoakOptions options,
            AnswerLog log,
            Counts counts,
            ScheduledExecutorService lateCopies) {
        this.name = name;
        this.server = server;
        this.options = options;
        this.log = log;
        this.counts = counts;
        this.lateCopies = lateCopies;
        this.random = new SplittableRandom(options.seed() * 31 + name.hashCode());
    }

    /** Starts a target on a port of 127.0.0.1. */
    static StutteringTarget start(
            String name,
            int port,
            SoakOptions options,
            AnswerLog log,
            Counts counts,
            ScheduledExecutorService lateCopies)
            throws IOException {
        ServerSocket server = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        StutteringTarget target =
                new StutteringTarget(name, server, options, log, counts, lateCopies);
        Daemons.start(name, target::accept);
        return target;
    }

    /** Stops accepting connections. */
    void stop() throws IOException {
        server.close();
    }

    String name() {
        return name;
    }

    AnswerLog log() {
        return log;
    }

    Counts counts() {
        return counts;
    }

    ScheduledExecutorService lateCopies() {
        return lateCopies;
    }

    synchronized AnswerPlan drawPlan() {
        return AnswerPlan.draw(random, options);
    }

    /** Takes a slot; returns whether one was free. */
    boolean takeSlot() {
        if (running.incrementAndGet() <= SLOTS) {
            return true;
        }
        running.decrementAndGet();
        return false;
    }

    void freeSlot() {
        running.decrementAndGet();
    }

    /** Returns the fields that each answer of this target has. */
    String commonFields() {
        return PlatformNames.INSTANCE_ID
                + ": "
                + name
                + "\r\n"
                + PlatformNames.SERVER_LOAD
                + ": "
                + running.get()
                + ",0,"
                + SLOTS
                + ",100\r\n"
                + PlatformNames.COLD_MILLIS
                + ": 0\r\n";
    }

    /** Keeps an answer for the next request with its id, if the options ask for that. */
    void holdForAttempt(String id, byte[] answer) {
        if (options.copiesForNextAttempt()) {
            heldForAttempt.put(id, answer);
        }
    }

    Optional<byte[]> takeHeldForAttempt(String id) {
        return Optional.ofNullable(heldForAttempt.remove(id));
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                int number = connections.incrementAndGet();
                TargetConnection connection = new TargetConnection(this, socket, number);
                Daemons.start(name + "-" + number, connection::serve);
            } catch (IOException e) {
                counts.add("target: accept ended");
            }
        }
    }
}
