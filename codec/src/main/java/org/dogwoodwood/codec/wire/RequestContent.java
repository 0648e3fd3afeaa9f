package org.dogwoodwood.codec.wire;

import java.util.List;
import java.util.Objects;
import org.dogwoodwood.core.model.HeaderField;

/** The HTTP request that is forwarded to a target. */
public final class RequestContent {

    private final String method;
    private final String path;
    private final List<HeaderField> headers;
    private final byte[] body;

    private RequestContent(String method, String path, List<HeaderField> headers, byte[] body) {
        this.method = Objects.requireNonNull(method, "method");
        this.path = Objects.requireNonNull(path, "path");
        this.headers = List.copyOf(headers);
        this.body = Objects.requireNonNull(body, "body");
    }

    /**
     * Returns a request with the given parts.
     *
     * @param method the HTTP method, not null
     * @param path the path and query, not null
     * @param headers the end-to-end header fields, not null
     * @param body the complete body, not null; not copied, so it must not be modified afterwards
     */
    public static RequestContent of(
            String method, String path, List<HeaderField> headers, byte[] body) {
        return new RequestContent(method, path, headers, body);
    }

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns the path and query. */
    public String path() {
        return path;
    }

    /** Returns the end-to-end header fields. */
    public List<HeaderField> headers() {
        return headers;
    }

    /** Returns the complete body, which must not be modified. */
    public byte[] body() {
        return body;
    }
}
