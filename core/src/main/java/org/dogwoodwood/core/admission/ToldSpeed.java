package org.dogwoodwood.core.admission;

/** The speed that a target tells of itself. */
final class ToldSpeed {

    /** A speed that was told longer ago says little of the present one. */
    private static final long VALID_NANOS = 500_000_000L;

    private static final double MEAN_WEIGHT = 0.01;

    private double slowdown;
    private double mean = 1;
    private long toldNanos;

    /** Takes in a speed. */
    void onSlowdown(double told, long nowNanos) {
        slowdown = told;
        toldNanos = nowNanos;
        mean += MEAN_WEIGHT * (told - mean);
    }

    /** Returns the speed as a multiple of the usual time, or 0 if none was told recently. */
    double slowdown(long nowNanos) {
        return slowdown > 0 && nowNanos - toldNanos <= VALID_NANOS ? slowdown : 0;
    }

    /** Returns the mean of what was told, which the mean service time contains. */
    double mean() {
        return mean;
    }
}
