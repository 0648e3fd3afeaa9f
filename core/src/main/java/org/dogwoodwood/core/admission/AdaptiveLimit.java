package org.dogwoodwood.core.admission;

/**
 * Lowers the limit of a target below its slots while it is slower than usual, so that calls that
 * can run elsewhere do. Calls that found no free slot elsewhere are not held to it: slow slots are
 * still capacity, and without them a service at 85 % load falls short of its calls.
 */
final class AdaptiveLimit {

    /** Smaller slowdowns are within the noise of few completions. */
    static final double TOLERATED_SLOWDOWN = 1.5;

    private static final int MIN_LIMIT = 1;

    private AdaptiveLimit() {}

    /**
     * Returns the calls that may be in flight.
     *
     * @param slots the calls that the target can work on at its usual speed
     * @param estimate the estimate of its service time, not null
     */
    static int limit(int slots, ServiceTimeEstimate estimate) {
        return limit(slots, estimate.recentNanos() / estimate.baselineNanos());
    }

    /**
     * Returns the calls that may be in flight.
     *
     * @param slots the calls that the target can work on at its usual speed
     * @param slowdown how long work takes now, as a multiple of the usual time
     */
    static int limit(int slots, double slowdown) {
        if (slowdown <= TOLERATED_SLOWDOWN) {
            return slots;
        }
        return Math.max(MIN_LIMIT, (int) Math.round(slots / slowdown));
    }
}
