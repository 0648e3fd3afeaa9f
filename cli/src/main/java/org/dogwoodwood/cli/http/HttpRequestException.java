package org.dogwoodwood.cli.http;

import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** Thrown when a request gets no response. */
public class HttpRequestException extends DogwoodwoodException {

    private static final long serialVersionUID = 1L;

    private final boolean sent;
    private final String detail;

    HttpRequestException(ErrorCode code, String detail, boolean sent, Throwable cause) {
        super(code, detail, cause);
        this.sent = sent;
        this.detail = detail;
    }

    /** Returns whether the request may have taken effect. */
    public boolean mayHaveTakenEffect() {
        return sent;
    }

    /** Returns what happened, without the error number and the remedy. */
    public String detail() {
        return detail;
    }
}
