package org.dogwoodwood.core.admission;

/** The speed that a target tells of itself. */
final class ToldSpeed {

    /** A speed that was told longer ago says little of the present one. */
    private static final long VALID_NANOS = 500_000_000L;

    private static final double START_WEIGHT = 0.02;

    /** Below this slowdown, a call that starts at once ends sooner than one that waits. */
    private static final double HOLD_RATIO = 3.0;

    /**
     * Most slow phases caused by neighbours end within this time; a target that is slow for longer
     * stays so.
     */
    private static final long MAX_PHASE_NANOS = 1_500_000_000L;

    private double slowdown;
    private double meanAtStarts = 1;
    private long toldNanos;
    private long slowSinceNanos;

    /** Takes in a speed. */
    void onSlowdown(double told, long nowNanos) {
        if (told >= HOLD_RATIO && !isSlow(nowNanos)) {
            slowSinceNanos = nowNanos;
        }
        slowdown = told;
        toldNanos = nowNanos;
    }

    /** Takes in that a call starts at the present speed. */
    void onStarted(long nowNanos) {
        double present = slowdown(nowNanos);
        if (present > 0) {
            meanAtStarts += START_WEIGHT * (present - meanAtStarts);
        }
    }

    /** Returns whether a call that starts now probably ends later than one that waits. */
    boolean isSlow(long nowNanos) {
        return slowdown(nowNanos) >= HOLD_RATIO;
    }

    /** Returns whether the target tells its speed. */
    boolean isTold() {
        return slowdown > 0;
    }

    /** Returns the speed as a multiple of the usual time, or 0 if none was told recently. */
    double slowdown(long nowNanos) {
        return slowdown > 0 && nowNanos - toldNanos <= VALID_NANOS ? slowdown : 0;
    }

    /**
     * Returns whether the target is in a slow phase that is likely to end soon. Work that starts in
     * it takes several times as long, also after its end.
     */
    boolean isInSlowPhase(long nowNanos) {
        return isSlow(nowNanos) && nowNanos - slowSinceNanos < MAX_PHASE_NANOS;
    }

    /** Returns the mean speed at which calls started, which their mean time contains. */
    double meanAtStarts() {
        return meanAtStarts;
    }
}
