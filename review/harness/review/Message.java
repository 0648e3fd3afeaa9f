package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** An HTTP/1.1 request or response with its complete body. */
final class Message {

    /** A header field. */
    record Field(String name, String value) {}

    private static final int MAX_LINE_BYTES = 64 << 10;
    private static final int MAX_JOINED_BYTES = 64 << 10;

    private final String startLine;
    private final List<Field> fields;
    private final byte[] body;

    Message(String startLine, List<Field> fields, byte[] body) {
        this.startLine = startLine;
        this.fields = List.copyOf(fields);
        this.body = body;
    }

    /** Returns a message without fields and body. */
    static Message of(String startLine) {
        return new Message(startLine, List.of(), new byte[0]);
    }

    /** Returns a copy with a further field. */
    Message with(String name, Object value) {
        List<Field> next = new ArrayList<>(fields);
        next.add(new Field(name, String.valueOf(value)));
        return new Message(startLine, next, body);
    }

    /** Returns a copy with another body. */
    Message withBody(byte[] newBody) {
        return new Message(startLine, fields, newBody);
    }

    /** Returns a copy with another body. */
    Message withBody(String text) {
        return withBody(text.getBytes(StandardCharsets.UTF_8));
    }

    String method() {
        return startLine.split(" ")[0];
    }

    /** Returns the request target: path and query. */
    String target() {
        return startLine.split(" ")[1];
    }

    String path() {
        return target().split("\\?")[0];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    byte[] body() {
        return body;
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the first value of a field, or null. */
    String field(String name) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    boolean closes() {
        String connection = field("Connection");
        return connection != null && connection.toLowerCase(Locale.ROOT).contains("close");
    }

    /** Writes the message with its length. */
    void write(OutputStream out) throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        for (Field field : fields) {
            head.append(field.name()).append(": ").append(field.value()).append("\r\n");
        }
        boolean request = !startLine.startsWith("HTTP/");
        boolean bodyless = request && (method().equals("GET") || method().equals("DELETE"));
        if (!bodyless || body.length > 0) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body.length > MAX_JOINED_BYTES) {
            out.write(headBytes);
            out.write(body);
        } else {
            // One write, so that a small message is sent at once.
            byte[] all = Arrays.copyOf(headBytes, headBytes.length + body.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            out.write(all);
        }
        out.flush();
    }

    /**
     * Reads a message whose body has a length or comes in chunks.
     *
     * @return the message, or null if the connection ends before its first byte
     */
    static Message read(InputStream in) throws IOException {
        String startLine = readLine(in, true);
        if (startLine == null) {
            return null;
        }
        List<Field> fields = new ArrayList<>();
        String line = readLine(in, false);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            fields.add(new Field(line.substring(0, colon), line.substring(colon + 1).trim()));
            line = readLine(in, false);
        }
        Message head = new Message(startLine, fields, new byte[0]);
        String encoding = head.field("Transfer-Encoding");
        if (encoding != null) {
            return head.withBody(readChunks(in));
        }
        String length = head.field("Content-Length");
        return length == null ? head : head.withBody(readBytes(in, Integer.parseInt(length)));
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        while (size > 0) {
            body.write(readBytes(in, size));
            readLine(in, false);
            size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
        }
        while (!readLine(in, false).isEmpty()) {
            // Skips trailers.
        }
        return body.toByteArray();
    }

    private static byte[] readBytes(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("The body ended early.");
        }
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0 && mayEnd) {
            return null;
        }
        while (next != '\n') {
            if (next < 0 || line.size() > MAX_LINE_BYTES) {
                throw new EOFException("The head ended early.");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
