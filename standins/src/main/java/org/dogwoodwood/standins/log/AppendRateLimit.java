package org.dogwoodwood.standins.log;

/** A token bucket that limits the appends to all streams together. Not thread-safe. */
final class AppendRateLimit {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double appendsPerSecond;
    private double tokens;
    private long updatedNanos;

    private AppendRateLimit(double appendsPerSecond, long nowNanos) {
        this.appendsPerSecond = appendsPerSecond;
        this.tokens = appendsPerSecond;
        this.updatedNanos = nowNanos;
    }

    /** Returns a limit whose bucket holds the appends of one second. */
    static AppendRateLimit of(double appendsPerSecond, long nowNanos) {
        return new AppendRateLimit(appendsPerSecond, nowNanos);
    }

    /** Takes a token, or returns false if none is available. */
    boolean tryAcquire(long nowNanos) {
        double refill = (nowNanos - updatedNanos) / NANOS_PER_SECOND * appendsPerSecond;
        tokens = Math.min(appendsPerSecond, tokens + refill);
        updatedNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
