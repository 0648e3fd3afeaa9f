package org.dogwoodwood.core.admission;

/** Limits how many calls a cold target starts per second. */
final class ColdRate {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Calls that may start together, as a share of a second's; small, so that none waits long. */
    private static final double BURST_SECONDS = 0.1;

    private final double callsPerSecond;
    private final double burst;
    private double tokens;
    private long lastNanos;

    /**
     * Creates a limit that no call has used.
     *
     * @param callsPerSecond the calls that a cold target bears per second; 0 for no limit
     */
    ColdRate(double callsPerSecond, long nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.burst = Math.max(1, BURST_SECONDS * callsPerSecond);
        this.tokens = burst;
        this.lastNanos = nowNanos;
    }

    double callsPerSecond() {
        return callsPerSecond;
    }

    /** Returns whether a call may start now. */
    boolean allows(long nowNanos) {
        if (callsPerSecond == 0) {
            return true;
        }
        double elapsedSeconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
        lastNanos = nowNanos;
        tokens = Math.min(burst, tokens + elapsedSeconds * callsPerSecond);
        return tokens >= 1;
    }

    /** Counts a call that starts, also of a target that is not known to be cold. */
    void onStart() {
        tokens -= Math.min(tokens, 1);
    }

    /** Returns the expected time until the next of several waiting calls starts, in nanoseconds. */
    double waitNanos(double callsAhead) {
        return callsPerSecond == 0
                ? 0
                : Math.max(0, callsAhead - tokens) * NANOS_PER_SECOND / callsPerSecond;
    }
}
