package org.dogwoodwood.standins.endless;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server that responds to every request with a first chunk and then repeats another chunk until
 * the client closes the connection. A request whose path begins with {@code /sound} gets a complete
 * response of fixed length.
 */
public final class EndlessServer {

    private static final String FINITE_RESPONSE_PATH = " /sound";
    private static final String FINITE_RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

    private final Vertx vertx;
    private final String firstChunk;
    private final String repeatedChunk;
    private final int intervalMillis;
    private final NetServer server;
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong sentBytes = new AtomicLong();

    private EndlessServer(
            Vertx vertx, String firstChunk, String repeatedChunk, int intervalMillis) {
        this.vertx = vertx;
        this.firstChunk = firstChunk;
        this.repeatedChunk = repeatedChunk;
        this.intervalMillis = intervalMillis;
        this.server = vertx.createNetServer().connectHandler(this::onConnection);
    }

    /**
     * Starts a server on a free port of 127.0.0.1.
     *
     * @param firstChunk the first bytes of each response
     * @param repeatedChunk the bytes that are sent repeatedly after that
     * @param intervalMillis the time between two repetitions in milliseconds; 0 sends as fast as
     *     the client reads
     */
    public static Future<EndlessServer> start(
            Vertx vertx, String firstChunk, String repeatedChunk, int intervalMillis) {
        EndlessServer endlessServer =
                new EndlessServer(vertx, firstChunk, repeatedChunk, intervalMillis);
        return endlessServer.server.listen(0, "127.0.0.1").map(ignored -> endlessServer);
    }

    /** Returns the port. */
    public int port() {
        return server.actualPort();
    }

    /** Returns the number of open connections with an endless response. */
    public int openResponses() {
        return open.get();
    }

    /** Returns how many bytes of endless responses have been sent. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private void onConnection(NetSocket socket) {
        Connection connection = new Connection(socket);
        socket.handler(connection::onBytes);
        socket.exceptionHandler(ignored -> socket.close());
        socket.closeHandler(
                ignored -> {
                    connection.onClosed();
                });
    }

    private final class Connection {

        private final NetSocket socket;
        private boolean started;
        private boolean closed;

        Connection(NetSocket socket) {
            this.socket = socket;
        }

        void onBytes(Buffer request) {
            if (started) {
                return;
            }
            if (request.toString().contains(FINITE_RESPONSE_PATH)) {
                socket.write(FINITE_RESPONSE);
                return;
            }
            started = true;
            open.incrementAndGet();
            write(firstChunk);
            send();
        }

        void onClosed() {
            closed = true;
            if (started) {
                open.decrementAndGet();
            }
        }

        private void send() {
            if (closed || repeatedChunk.isEmpty()) {
                return;
            }
            write(repeatedChunk);
            if (intervalMillis > 0) {
                vertx.setTimer(intervalMillis, ignored -> send());
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
