package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** A client on a machine that keeps one connection to the node; used by one thread. */
final class Client implements AutoCloseable {

    /** Returned in place of a status if the connection ended without an answer. */
    static final int NO_ANSWER = 0;

    private static final AtomicLong NEXT_ID = new AtomicLong(1);
    private static final int CONNECT_MILLIS = 1_000;

    private final Machine machine;
    private final Record record;
    private Socket socket;
    private InputStream in;

    Client(Machine machine, Record record) {
        this.machine = machine;
        this.record = record;
    }

    static String nextId() {
        return String.format(Locale.ROOT, "%016x", 0x5eed_0000_0000L + NEXT_ID.getAndIncrement());
    }

    static Message request(String method, String host, String path, int deadlineMillis) {
        return Message.of(method + " " + path + " HTTP/1.1")
                .with("Host", host)
                .with("X-Dogwoodwood-Request-Id", nextId())
                .with("X-Dogwoodwood-Deadline-Ms", deadlineMillis);
    }

    /** Sends a request and returns the status of its answer, or {@link #NO_ANSWER}. */
    int send(Message request) {
        return exchange(request).map(Message::status).orElse(NO_ANSWER);
    }

    /** Sends a request and returns its answer, or empty if the connection ended without one. */
    java.util.Optional<Message> exchange(Message request) {
        String id = Backend.requestId(request);
        record.write(
                "client at %s sends %s %s %s, %d bytes",
                machine.name(), id, request.method(), request.target(), request.body().length);
        try {
            connect();
            socket.setSoTimeout(
                    Integer.parseInt(request.field("X-Dogwoodwood-Deadline-Ms")) + 2_000);
            request.write(socket.getOutputStream());
            Message answer = Message.read(in);
            if (answer == null) {
                throw new IOException("The connection was closed.");
            }
            record.write(
                    "client at %s gets %d for %s: %s",
                    machine.name(), answer.status(), id, firstLine(answer.text()));
            if (answer.closes()) {
                close();
            }
            return java.util.Optional.of(answer);
        } catch (IOException e) {
            record.write("client at %s gets no answer for %s: %s", machine.name(), id, e);
            close();
            return java.util.Optional.empty();
        }
    }

    private static String firstLine(String text) {
        String line = text.lines().findFirst().orElse("");
        return line.substring(0, Math.min(100, line.length()));
    }

    private void connect() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.connect(
                    new InetSocketAddress(Deployment.HOST, machine.outboundPort()),
                    CONNECT_MILLIS);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is gone in any case.
        }
        socket = null;
    }
}
