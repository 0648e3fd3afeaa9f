package org.dogwoodwood.node.support;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.dogwoodwood.node.settings.Endpoint;

/**
 * A target on plain sockets that answers each request by a script, so that answers may break the
 * rules of HTTP. Each text of a script is one write.
 */
public final class ScriptedTarget implements AutoCloseable {

    /** A step that lets the bytes written before arrive on their own. */
    public static final String PAUSE = "pause";

    /** A step that closes the connection in good order. */
    public static final String CLOSE = "close";

    /** A step that resets the connection. */
    public static final String RESET = "reset";

    /** The duration of a pause, in milliseconds. */
    public static final int PAUSE_MILLIS = 60;

    private static final String HEAD_END = "\r\n\r\n";

    private final ServerSocket server;
    private final UnaryOperator<List<String>> answers;
    private final AtomicInteger connections = new AtomicInteger();

    private ScriptedTarget(ServerSocket server, UnaryOperator<List<String>> answers) {
        this.server = server;
        this.answers = answers;
    }

    /**
     * Starts a target on a free port.
     *
     * @param answers maps the lines of a request's head to the script of its answer
     */
    public static ScriptedTarget start(UnaryOperator<List<String>> answers) {
        try {
            ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            ScriptedTarget target = new ScriptedTarget(server, answers);
            startThread(target::acceptAll);
            return target;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public Endpoint address() {
        return Endpoint.of("127.0.0.1", server.getLocalPort());
    }

    /** Returns the number of connections that have been accepted. */
    public int connections() {
        return connections.get();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            String head = readHead(socket.getInputStream());
            while (!head.isEmpty()) {
                for (String step : answers.apply(List.of(head.split("\r\n", -1)))) {
                    play(socket, step);
                }
                head = readHead(socket.getInputStream());
            }
        } catch (IOException e) {
            // The script or the guard has closed the connection.
            return;
        }
    }

    private static void play(Socket socket, String step) throws IOException {
        switch (step) {
            case PAUSE -> Waiting.sleep(PAUSE_MILLIS);
            case CLOSE -> socket.close();
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            default -> {
                OutputStream out = socket.getOutputStream();
                out.write(step.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        }
    }

    /** Returns the head of the next request, or an empty text at the end of the connection. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
