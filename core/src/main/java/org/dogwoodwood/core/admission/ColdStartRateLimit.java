package org.dogwoodwood.core.admission;

/** Token bucket that limits how many calls per second a cold target starts. */
final class ColdStartRateLimit {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Burst size as seconds of the rate; small, so that no call of a burst waits long. */
    private static final double BURST_SECONDS = 0.1;

    private final double callsPerSecond;
    private final double burst;
    private double tokens;
    private long lastNanos;

    /**
     * Creates a limit with a full bucket.
     *
     * @param callsPerSecond the calls that a cold target can start per second; 0 for no limit
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    ColdStartRateLimit(double callsPerSecond, long nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.burst = Math.max(1, BURST_SECONDS * callsPerSecond);
        this.tokens = burst;
        this.lastNanos = nowNanos;
    }

    double callsPerSecond() {
        return callsPerSecond;
    }

    /** Refills the bucket and returns whether a call may start now; consumes no token. */
    boolean allows(long nowNanos) {
        if (callsPerSecond == 0) {
            return true;
        }
        double elapsedSeconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
        lastNanos = nowNanos;
        tokens = Math.min(burst, tokens + elapsedSeconds * callsPerSecond);
        return tokens >= 1;
    }

    /** Consumes a token for a call that starts, even if the target is not known to be cold. */
    void onStart() {
        tokens -= Math.min(tokens, 1);
    }

    /**
     * Returns the expected time until a queued call starts, in nanoseconds.
     *
     * @param callsAhead the number of calls that start up to and including this one
     */
    double waitNanos(double callsAhead) {
        return callsPerSecond == 0
                ? 0
                : Math.max(0, callsAhead - tokens) * NANOS_PER_SECOND / callsPerSecond;
    }
}
