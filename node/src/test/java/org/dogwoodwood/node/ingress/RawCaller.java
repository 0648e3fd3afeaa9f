package org.dogwoodwood.node.ingress;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A caller that sends arbitrary bytes, for requests that no HTTP library sends. */
final class RawCaller implements AutoCloseable {

    private static final int READ_MILLIS = 3_000;

    private final Socket socket;

    RawCaller(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_MILLIS);
    }

    void send(String text) {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns everything that is received until the connection closes or a read times out, followed
     * by {@code <closed>} or {@code <open>}.
     */
    String readAll() throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        byte[] buffer = new byte[8192];
        try {
            int count = in.read(buffer);
            while (count >= 0) {
                text.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                count = in.read(buffer);
            }
            text.append("<closed>");
        } catch (SocketTimeoutException e) {
            text.append("<open>");
        }
        return text.toString();
    }

    /** Closes the connection with a TCP reset instead of an orderly close. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
