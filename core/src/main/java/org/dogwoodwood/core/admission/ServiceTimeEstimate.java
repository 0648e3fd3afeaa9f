package org.dogwoodwood.core.admission;

/**
 * Estimates the current mean service time of a target as busy slot time per completed call.
 *
 * <p>The elapsed time of calls in flight is included, so that a sudden slowdown is detected before
 * the first slow call ends.
 */
final class ServiceTimeEstimate {

    /** Longer windows hide slow phases, the shortest of which last about 5 ms. */
    private static final double RECENT_WINDOW_NANOS = 12e6;

    private static final double BASELINE_WINDOW_NANOS = 5e9;

    /** Assumed completions at the baseline service time, added to the observed ones as a prior. */
    private static final double PRIOR_COMPLETIONS = 3.0;

    private static final double SIGNIFICANT_RATIO = 1.4;

    /** At lower ratios, a few long calls would often cause queued calls to be moved. */
    private static final double SLOW_RATIO = 1.8;

    private static final double INITIAL_COMPLETIONS = 5.0;

    private double recentBusyNanos;
    private double recentCompletions;
    private double baselineBusyNanos;
    private double baselineCompletions = INITIAL_COMPLETIONS;
    private long lastNanos;

    ServiceTimeEstimate(long initialServiceTimeNanos, long nowNanos) {
        this.baselineBusyNanos = INITIAL_COMPLETIONS * initialServiceTimeNanos;
        this.lastNanos = nowNanos;
    }

    /**
     * Accounts for the time since the last event, during which the given number of calls was in
     * flight.
     */
    void advance(int inFlight, long nowNanos) {
        long elapsed = nowNanos - lastNanos;
        if (elapsed <= 0) {
            return;
        }
        lastNanos = nowNanos;
        double busy = (double) inFlight * elapsed;
        double recentDecay = Math.exp(-elapsed / RECENT_WINDOW_NANOS);
        recentBusyNanos = recentBusyNanos * recentDecay + busy;
        recentCompletions *= recentDecay;
        double baselineDecay = Math.exp(-elapsed / BASELINE_WINDOW_NANOS);
        baselineBusyNanos = baselineBusyNanos * baselineDecay + busy;
        baselineCompletions *= baselineDecay;
    }

    /** Counts a call that the target answered without a server error. */
    void onCompleted() {
        recentCompletions += 1;
        baselineCompletions += 1;
    }

    /** Returns the current mean service time in nanoseconds. */
    double recentNanos() {
        double baseline = baselineNanos();
        return (recentBusyNanos + PRIOR_COMPLETIONS * baseline)
                / (recentCompletions + PRIOR_COMPLETIONS);
    }

    /**
     * Returns the service time to report to senders, in nanoseconds: the recent one if it is
     * significantly above the baseline, else the baseline. Reporting random differences would make
     * all senders prefer the same target.
     */
    double significantNanos() {
        double baseline = baselineNanos();
        double recent = recentNanos();
        return recent > SIGNIFICANT_RATIO * baseline ? recent : baseline;
    }

    /** Returns whether the target is significantly slower than usual. */
    boolean isSlow() {
        return recentNanos() > SLOW_RATIO * baselineNanos();
    }

    /** Returns the mean service time of the last few seconds in nanoseconds. */
    double baselineNanos() {
        return baselineBusyNanos / Math.max(1.0, baselineCompletions);
    }
}
