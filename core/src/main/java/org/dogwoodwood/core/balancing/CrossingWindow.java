package org.dogwoodwood.core.balancing;

/**
 * Limits the calls that one ingress has in flight in another data centre. Load reports from there
 * are rare and many ingress nodes read them at once, so the window opens by one call for each
 * window of answers and is halved when the data centre refuses a call or loses one.
 */
final class CrossingWindow {

    private static final double MAX_SIZE = 64;

    /** Refusals that follow within this time have the same cause and halve the window once. */
    private static final long REDUCTION_INTERVAL_NANOS = 100_000_000;

    private double size = 1;
    private int inFlight;
    private long lastReductionNanos;
    private boolean reduced;

    boolean isOpen() {
        return inFlight < (int) size;
    }

    void onSent() {
        inFlight++;
    }

    void onEnded(AttemptResult result, long nowNanos) {
        boolean full = inFlight >= (int) size;
        inFlight = Math.max(0, inFlight - 1);
        if (result == AttemptResult.SUCCEEDED && full) {
            size = Math.min(MAX_SIZE, size + 1 / size);
        } else if (result == AttemptResult.REFUSED || result == AttemptResult.LOST) {
            reduce(nowNanos);
        }
    }

    private void reduce(long nowNanos) {
        if (!reduced || nowNanos - lastReductionNanos >= REDUCTION_INTERVAL_NANOS) {
            reduced = true;
            lastReductionNanos = nowNanos;
            size = Math.max(1, size / 2);
        }
    }
}
