package org.dogwoodwood.core.admission;

/**
 * Reduces the concurrency limit of a target below its slots while it is slower than usual, so that
 * calls that can run elsewhere are sent elsewhere. The reduced limit does not apply to calls that
 * found no free slot elsewhere: slow slots are still capacity, and without them a service at 85 %
 * load cannot serve all its calls.
 */
final class AdaptiveLimit {

    /** Smaller slowdowns are within the statistical noise of a few completions. */
    static final double TOLERATED_SLOWDOWN = 1.5;

    private static final int MIN_LIMIT = 1;

    private AdaptiveLimit() {}

    /**
     * Returns the maximum number of calls in flight.
     *
     * @param slots the number of calls that the target can process concurrently at its usual speed
     * @param estimate the estimate of the target's service time, not null
     */
    static int limit(int slots, ServiceTimeEstimate estimate) {
        return limit(slots, estimate.recentNanos() / estimate.baselineNanos());
    }

    /**
     * Returns the maximum number of calls in flight.
     *
     * @param slots the number of calls that the target can process concurrently at its usual speed
     * @param slowdown the current service time as a multiple of the usual one
     */
    static int limit(int slots, double slowdown) {
        if (slowdown <= TOLERATED_SLOWDOWN) {
            return slots;
        }
        return Math.max(MIN_LIMIT, (int) Math.round(slots / slowdown));
    }
}
