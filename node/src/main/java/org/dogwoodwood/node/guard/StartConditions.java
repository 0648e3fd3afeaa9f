package org.dogwoodwood.node.guard;

/**
 * What a guard knows of its target when an attempt starts there.
 *
 * @param slowdown how long work takes, as a multiple of the usual time; 0 if the target has not
 *     told it
 * @param speedAgeNanos how long ago the target told its load, in nanoseconds
 * @param inFlight the calls that the target works on, with this one
 */
record StartConditions(double slowdown, long speedAgeNanos, int inFlight) {

    /** The conditions of an attempt that has not started. */
    static final StartConditions NOT_STARTED = new StartConditions(0, 0, 0);

    // From here on, an attempt takes so much longer that a later start elsewhere ends earlier.
    private static final double SLOW_RATIO = 3.0;

    /** Returns whether the target was known to be in a slow phase. */
    boolean isSlow() {
        return slowdown >= SLOW_RATIO;
    }
}
