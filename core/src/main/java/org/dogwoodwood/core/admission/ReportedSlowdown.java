package org.dogwoodwood.core.admission;

/** The slowdown that a target reports: its current service time as a multiple of the usual one. */
final class ReportedSlowdown {

    /** Older reports say little about the current slowdown. */
    private static final long MAX_REPORT_AGE_NANOS = 500_000_000L;

    /** Weight of one start in the moving mean of slowdowns. */
    private static final double START_WEIGHT = 0.02;

    /**
     * Below this slowdown, a call that starts immediately ends sooner than one that waits for the
     * end of the slow phase.
     */
    private static final double HOLD_SLOWDOWN = 3.0;

    /**
     * Most slow phases caused by neighbours end within this time (1.5 s); a target that is slow for
     * longer is expected to stay slow.
     */
    private static final long MAX_SLOW_PHASE_NANOS = 1_500_000_000L;

    private double slowdown;
    private double meanAtStart = 1;
    private long reportedNanos;
    private long slowSinceNanos;

    /** Records a reported slowdown, above 0. */
    void onSlowdown(double reported, long nowNanos) {
        if (reported >= HOLD_SLOWDOWN && !isSlow(nowNanos)) {
            slowSinceNanos = nowNanos;
        }
        slowdown = reported;
        reportedNanos = nowNanos;
    }

    /** Records the start of a call at the current slowdown. */
    void onStarted(long nowNanos) {
        double current = slowdown(nowNanos);
        if (current > 0) {
            meanAtStart += START_WEIGHT * (current - meanAtStart);
        }
    }

    /**
     * Returns whether a call that starts now probably ends later than one that waits for the end of
     * the slow phase.
     */
    boolean isSlow(long nowNanos) {
        return slowdown(nowNanos) >= HOLD_SLOWDOWN;
    }

    /** Returns whether the target has ever reported its slowdown. */
    boolean isReported() {
        return slowdown > 0;
    }

    /** Returns the reported slowdown, or 0 if none was reported within the last 500 ms. */
    double slowdown(long nowNanos) {
        return slowdown > 0 && nowNanos - reportedNanos <= MAX_REPORT_AGE_NANOS ? slowdown : 0;
    }

    /**
     * Returns whether the target is in a slow phase that is likely to end soon. A call that starts
     * during the phase takes several times as long, even if the phase ends meanwhile.
     */
    boolean isInSlowPhase(long nowNanos) {
        return isSlow(nowNanos) && nowNanos - slowSinceNanos < MAX_SLOW_PHASE_NANOS;
    }

    /**
     * Returns the mean slowdown at the start of recent calls, by which their mean service time is
     * inflated.
     */
    double meanAtStart() {
        return meanAtStart;
    }
}
