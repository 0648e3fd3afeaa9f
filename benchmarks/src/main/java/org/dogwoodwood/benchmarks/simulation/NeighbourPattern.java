package org.dogwoodwood.benchmarks.simulation;

import java.util.SplittableRandom;

/**
 * How often and by how much neighbours slow a target.
 *
 * @param meanGapNanos the mean time between two slow phases, in nanoseconds
 * @param minDurationNanos the shortest slow phase
 * @param maxDurationNanos the longest slow phase
 * @param minSlowdown the least slowdown
 * @param maxSlowdown the largest slowdown
 */
record NeighbourPattern(
        double meanGapNanos,
        double minDurationNanos,
        double maxDurationNanos,
        double minSlowdown,
        double maxSlowdown) {

    /** Slow phases of 5 to 200 ms, every two seconds on average. */
    static final NeighbourPattern SHORT = new NeighbourPattern(2e9, 5e6, 200e6, 3, 10);

    /** Slow phases of about a second, a third of the time. */
    static final NeighbourPattern LONG = new NeighbourPattern(1486e6, 400e6, 1200e6, 7, 7);

    /** Returns the share of the slots' work that neighbours leave on average. */
    double meanSpeed() {
        double duration = (minDurationNanos + maxDurationNanos) / 2;
        double slowShare = duration / (duration + meanGapNanos);
        return 1 - slowShare * (1 - meanSlowSpeed());
    }

    double nextGapNanos(SplittableRandom random) {
        return -Math.log(1 - random.nextDouble()) * meanGapNanos;
    }

    double nextSlowdown(SplittableRandom random) {
        return between(minSlowdown, maxSlowdown, random);
    }

    double nextDurationNanos(SplittableRandom random) {
        return between(minDurationNanos, maxDurationNanos, random);
    }

    private double meanSlowSpeed() {
        return maxSlowdown > minSlowdown
                ? Math.log(maxSlowdown / minSlowdown) / (maxSlowdown - minSlowdown)
                : 1 / minSlowdown;
    }

    private static double between(double low, double high, SplittableRandom random) {
        return low + (high - low) * random.nextDouble();
    }
}
