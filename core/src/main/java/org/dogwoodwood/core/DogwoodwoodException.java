package org.dogwoodwood.core;

import java.util.Objects;

/** Root of the exception hierarchy; each exception carries an {@link ErrorCode}. */
public class DogwoodwoodException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception without a cause.
     *
     * @param code the error code, not null
     * @param detail what happened, without the remedy
     */
    public DogwoodwoodException(ErrorCode code, String detail) {
        this(code, detail, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the error code, not null
     * @param detail what happened, without the remedy
     * @param cause the cause, or null
     */
    public DogwoodwoodException(ErrorCode code, String detail, Throwable cause) {
        super(
                Objects.requireNonNull(code, "code").number() + " " + detail + " " + code.remedy(),
                cause);
        this.code = code;
    }

    /** Returns the error code. */
    public ErrorCode code() {
        return code;
    }
}
