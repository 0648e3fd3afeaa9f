package org.dogwoodwood.core.balancing;

/** The result of one attempt of a call as observed by the ingress. */
public enum AttemptResult {
    /** The target answered without a server error. */
    SUCCEEDED(false),
    /** The target answered with a server error (HTTP 5xx). */
    FAILED(true),
    /** The guard refused the attempt without running it. */
    REFUSED(false),
    /** The connection broke, or the deadline passed, and the outcome is unknown. */
    LOST(true),
    /** The ingress cancelled the attempt. */
    CANCELLED(false);

    private final boolean countsAgainstTarget;

    AttemptResult(boolean countsAgainstTarget) {
        this.countsAgainstTarget = countsAgainstTarget;
    }

    /** Returns whether the result is evidence that the target is unhealthy. */
    public boolean countsAgainstTarget() {
        return countsAgainstTarget;
    }
}
