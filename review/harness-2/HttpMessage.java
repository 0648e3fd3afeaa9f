import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 request or response that was read from a connection. */
final class HttpMessage {

    final String firstLine;
    final Map<String, String> headers;
    byte[] body = {};

    private HttpMessage(String firstLine, Map<String, String> headers) {
        this.firstLine = firstLine;
        this.headers = headers;
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String path() {
        return firstLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Reads the head; returns null if the connection ends before it begins. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("The connection ended within a head.");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new HttpMessage(first, headers);
    }

    /** Reads a body that has a length or comes in chunks. */
    void readBody(InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(header("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int length = Integer.parseInt(readLine(in).trim(), 16);
                all.write(in.readNBytes(length));
                readLine(in);
                if (length == 0) {
                    break;
                }
            }
            body = all.toByteArray();
        } else if (header("content-length") != null) {
            int length = Integer.parseInt(header("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("The connection ended within a body.");
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("The connection ended within a line.");
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
