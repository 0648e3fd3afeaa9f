package org.dogwoodwood.benchmarks.simulation;

import java.util.SplittableRandom;

/**
 * The frequency, duration and slowdown of the phases in which noisy neighbours slow a target.
 *
 * @param meanGapNanos the mean time between two slow phases, in nanoseconds
 * @param minDurationNanos the shortest slow phase, in nanoseconds
 * @param maxDurationNanos the longest slow phase, in nanoseconds
 * @param minSlowdown the smallest slowdown, as a multiple of the usual time
 * @param maxSlowdown the largest slowdown, as a multiple of the usual time
 */
record NeighbourPattern(
        double meanGapNanos,
        double minDurationNanos,
        double maxDurationNanos,
        double minSlowdown,
        double maxSlowdown) {

    /** Slow phases of 5 to 200 ms, every two seconds on average. */
    static final NeighbourPattern SHORT = new NeighbourPattern(2e9, 5e6, 200e6, 3, 10);

    /** Slow phases of 0.4 to 1.2 s that take about a third of the time. */
    static final NeighbourPattern LONG = new NeighbourPattern(1486e6, 400e6, 1200e6, 7, 7);

    /** Returns the mean share of the full speed that neighbours leave to a target. */
    double meanSpeed() {
        double duration = (minDurationNanos + maxDurationNanos) / 2;
        double slowShare = duration / (duration + meanGapNanos);
        return 1 - slowShare * (1 - meanSlowSpeed());
    }

    double nextGapNanos(SplittableRandom random) {
        return -Math.log(1 - random.nextDouble()) * meanGapNanos;
    }

    double nextSlowdown(SplittableRandom random) {
        return uniform(minSlowdown, maxSlowdown, random);
    }

    double nextDurationNanos(SplittableRandom random) {
        return uniform(minDurationNanos, maxDurationNanos, random);
    }

    private double meanSlowSpeed() {
        return maxSlowdown > minSlowdown
                ? Math.log(maxSlowdown / minSlowdown) / (maxSlowdown - minSlowdown)
                : 1 / minSlowdown;
    }

    private static double uniform(double low, double high, SplittableRandom random) {
        return low + (high - low) * random.nextDouble();
    }
}
