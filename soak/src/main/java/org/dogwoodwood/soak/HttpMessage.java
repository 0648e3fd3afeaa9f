package org.dogwoodwood.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP/1.1 request or response as read from a socket.
 *
 * @param startLine the request line or the status line
 * @param fields the header fields, by name in lower case
 * @param body the content, without its chunk sizes
 * @param complete whether the content ended as its header fields say
 */
record HttpMessage(String startLine, Map<String, String> fields, String body, boolean complete) {

    private static final int HEXADECIMAL = 16;

    HttpMessage {
        fields = Map.copyOf(fields);
    }

    /** Reads one message; empty if the stream ended before it. */
    static Optional<HttpMessage> read(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return Optional.empty();
        }
        Map<String, String> fields = readFields(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = readBody(in, startLine.startsWith("HTTP/"), fields, body);
        return Optional.of(new HttpMessage(startLine, fields, text(body), complete));
    }

    Optional<String> field(String name) {
        return Optional.ofNullable(fields.get(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns the path of a request. */
    String path() throws ProtocolException {
        return secondWord();
    }

    /** Returns the status of a response. */
    int status() throws ProtocolException {
        if (!startLine.startsWith("HTTP/1.1 ")) {
            throw new ProtocolException("No status line: " + startLine);
        }
        try {
            return Integer.parseInt(secondWord());
        } catch (NumberFormatException e) {
            throw new ProtocolException("No status: " + startLine);
        }
    }

    boolean closesConnection() {
        return field("Connection").filter(value -> value.equalsIgnoreCase("close")).isPresent();
    }

    private String secondWord() throws ProtocolException {
        String[] words = startLine.split(" ", -1);
        if (words.length < 2) {
            throw new ProtocolException("No start line: " + startLine);
        }
        return words[1];
    }

    private static Map<String, String> readFields(InputStream in) throws IOException {
        Map<String, String> fields = new HashMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new ProtocolException("No header field: " + line);
            }
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            fields.put(name, line.substring(colon + 1).trim());
            line = readLine(in);
        }
        if (line == null) {
            throw new ProtocolException("The stream ended within the header.");
        }
        return fields;
    }

    private static boolean readBody(
            InputStream in, boolean response, Map<String, String> fields, ByteArrayOutputStream to)
            throws IOException {
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            return readChunks(in, to);
        }
        String length = fields.get("content-length");
        if (length != null) {
            return copy(in, Integer.parseInt(length), to);
        }
        if (response) {
            in.transferTo(to);
        }
        return true;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream to) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                return false;
            }
            int bytes = Integer.parseInt(size.trim(), HEXADECIMAL);
            if (!copy(in, bytes, to) || readLine(in) == null) {
                return false;
            }
            if (bytes == 0) {
                return true;
            }
        }
    }

    private static boolean copy(InputStream in, int length, ByteArrayOutputStream to)
            throws IOException {
        byte[] bytes = in.readNBytes(length);
        to.writeBytes(bytes);
        return bytes.length == length;
    }

    // Returns null if the stream ends before the end of the line.
    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = in.read();
        }
        return next < 0 ? null : text(line).stripTrailing();
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
