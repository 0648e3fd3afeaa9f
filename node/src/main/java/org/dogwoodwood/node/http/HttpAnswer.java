package org.dogwoodwood.node.http;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Objects;

/**
 * A complete answer to an HTTP request.
 *
 * @param status the HTTP status
 * @param headers the header fields, not null
 * @param body the body, not null
 */
public record HttpAnswer(int status, MultiMap headers, Buffer body) {

    /** Rejects null references. */
    public HttpAnswer {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
