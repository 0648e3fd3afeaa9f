package org.dogwoodwood.node.guard;

import io.vertx.core.MultiMap;
import java.util.Objects;

/**
 * The answer to a poll.
 *
 * @param status the HTTP status
 * @param headers the header fields
 * @param body the body
 */
public record PollAnswer(int status, MultiMap headers, String body) {

    /** Checks that the references are present. */
    public PollAnswer {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
