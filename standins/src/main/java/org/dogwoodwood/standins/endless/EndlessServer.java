package org.dogwoodwood.standins.endless;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Answers every request with a beginning and then one part again and again, until the caller closes
 * the connection. A request whose path begins with {@code /sound} gets a sound answer.
 */
public final class EndlessServer {

    private static final String SOUND_PATH = " /sound";
    private static final String SOUND_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

    private final Vertx vertx;
    private final String beginning;
    private final String part;
    private final int pauseMillis;
    private final NetServer server;
    private final AtomicInteger openResponses = new AtomicInteger();
    private final AtomicLong sentBytes = new AtomicLong();

    private EndlessServer(Vertx vertx, String beginning, String part, int pauseMillis) {
        this.vertx = vertx;
        this.beginning = beginning;
        this.part = part;
        this.pauseMillis = pauseMillis;
        this.server = vertx.createNetServer().connectHandler(this::onConnection);
    }

    /**
     * Starts a server on a port of its own.
     *
     * @param beginning the first bytes of each answer
     * @param part what follows again and again
     * @param pauseMillis the time between two parts in milliseconds; 0 sends as fast as the caller
     *     reads
     */
    public static Future<EndlessServer> start(
            Vertx vertx, String beginning, String part, int pauseMillis) {
        EndlessServer endless = new EndlessServer(vertx, beginning, part, pauseMillis);
        return endless.server.listen(0, "127.0.0.1").map(ignored -> endless);
    }

    /** Returns the port. */
    public int port() {
        return server.actualPort();
    }

    /** Returns how many connections carry an endless answer. */
    public int openResponses() {
        return openResponses.get();
    }

    /** Returns how many bytes of endless answers have been sent. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private void onConnection(NetSocket socket) {
        Stream stream = new Stream(socket);
        socket.handler(stream::onBytes);
        socket.exceptionHandler(ignored -> socket.close());
        socket.closeHandler(
                ignored -> {
                    stream.onClosed();
                });
    }

    /** One connection. */
    private final class Stream {

        private final NetSocket socket;
        private boolean started;
        private boolean closed;

        Stream(NetSocket socket) {
            this.socket = socket;
        }

        void onBytes(Buffer request) {
            if (started) {
                return;
            }
            if (request.toString().contains(SOUND_PATH)) {
                socket.write(SOUND_ANSWER);
                return;
            }
            started = true;
            openResponses.incrementAndGet();
            write(beginning);
            send();
        }

        void onClosed() {
            closed = true;
            if (started) {
                openResponses.decrementAndGet();
            }
        }

        private void send() {
            if (closed || part.isEmpty()) {
                return;
            }
            write(part);
            if (pauseMillis > 0) {
                vertx.setTimer(pauseMillis, ignored -> send());
            } else if (socket.writeQueueFull()) {
                socket.drainHandler(ignored -> send());
            } else {
                vertx.runOnContext(ignored -> send());
            }
        }

        private void write(String text) {
            sentBytes.addAndGet(text.length());
            socket.write(text);
        }
    }
}
