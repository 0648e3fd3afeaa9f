package org.dogwoodwood.core.model;

/** The known effect of a call. */
public enum Outcome {
    /** The target answered; the answer is the target's own. */
    ANSWERED("answered", false),
    /** No target has run the call. */
    NOT_RUN("not-run", true),
    /** The call may have been run. */
    UNKNOWN("unknown", false);

    private final String headerValue;
    private final boolean safeToRetry;

    Outcome(String headerValue, boolean safeToRetry) {
        this.headerValue = headerValue;
        this.safeToRetry = safeToRetry;
    }

    /** Returns the value of the {@code Dogwoodwood-Outcome} header. */
    public String headerValue() {
        return headerValue;
    }

    /** Returns whether even a non-idempotent call may be retried after this outcome. */
    public boolean isSafeToRetry() {
        return safeToRetry;
    }
}
