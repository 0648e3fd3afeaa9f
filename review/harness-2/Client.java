import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends requests to the outbound address of a node. */
final class Client {

    private static final AtomicInteger NEXT = new AtomicInteger();

    /**
     * What a client saw.
     *
     * @param status the status, 0 if the connection ended without an answer, -1 if none came in time
     */
    record Answer(String requestId, int status, String stamp, int bodyBytes, long millis) {}

    private Client() {}

    static String newId() {
        return String.format("%04x%012x", NEXT.incrementAndGet(), System.nanoTime() & 0xffffffffffL);
    }

    /** Sends one request on a new connection. */
    static Answer request(
            Node node, String method, String host, String path, int deadlineMillis, byte[] body) {
        return request(node, newId(), method, host, path, deadlineMillis, body);
    }

    static Answer request(
            Node node, String id, String method, String host, String path, int deadlineMillis,
            byte[] body) {
        long start = Record.now();
        try (Socket socket = new Socket()) {
            socket.connect(node.outbound(), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(deadlineMillis + 500);
            send(socket, id, method, host, path, deadlineMillis, body);
            HttpMessage answer = receive(socket);
            return new Answer(
                    id, answer.status(), answer.header("X-Dogwoodwood-Response-Stamp"),
                    answer.body.length, Record.now() - start);
        } catch (SocketTimeoutException e) {
            return new Answer(id, -1, null, 0, Record.now() - start);
        } catch (IOException e) {
            return new Answer(id, 0, null, 0, Record.now() - start);
        }
    }

    static void send(
            Socket socket, String id, String method, String host, String path, int deadlineMillis,
            byte[] body)
            throws IOException {
        String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + host
                        + "\r\nX-Dogwoodwood-Request-Id: " + id
                        + "\r\nX-Dogwoodwood-Deadline-Ms: " + deadlineMillis + "\r\n"
                        + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "")
                        + (body.length == 0 && !method.equals("GET") ? "Content-Length: 0\r\n" : "")
                        + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        socket.getOutputStream().write(all);
    }

    static HttpMessage receive(Socket socket) throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        HttpMessage answer = HttpMessage.readHead(in);
        if (answer == null) {
            throw new IOException("The connection ended without an answer.");
        }
        answer.readBody(in);
        return answer;
    }

    /** Sends a call with a JSON body; returns its status, 0 without an answer. */
    static int call(
            InetSocketAddress address, String method, String path, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + address.getHostString()
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(bytes);
            return receive(socket).status();
        } catch (IOException e) {
            return 0;
        }
    }
}
