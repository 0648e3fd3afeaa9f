package org.dogwoodwood.core.model;

import java.util.List;
import java.util.Objects;

/** The complete HTTP answer of a target. */
public final class TargetAnswer {

    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private final int status;
    private final List<HeaderField> headers;
    private final byte[] body;

    private TargetAnswer(int status, List<HeaderField> headers, byte[] body) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = Objects.requireNonNull(body, "body");
    }

    /**
     * Returns an answer with the given parts.
     *
     * @param status the HTTP status
     * @param headers the end-to-end header fields, not null
     * @param body the complete body, not null; not copied, so it must not be modified afterwards
     */
    public static TargetAnswer of(int status, List<HeaderField> headers, byte[] body) {
        return new TargetAnswer(status, headers, body);
    }

    /** Returns whether a status ends an exchange according to HTTP. */
    public static boolean isFinalStatus(int status) {
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
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
