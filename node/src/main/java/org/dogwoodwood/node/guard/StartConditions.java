package org.dogwoodwood.node.guard;

/**
 * What a guard knows about its target when an attempt starts there.
 *
 * @param slowdown the service time as a multiple of the usual one; 0 if the target has not reported
 *     it
 * @param slow whether work takes several times as long as usual
 * @param speedAgeNanos the time since the target last reported its load, in nanoseconds
 * @param inFlight the number of calls in flight at the target, including this one
 */
record StartConditions(double slowdown, boolean slow, long speedAgeNanos, int inFlight) {

    /** The conditions of an attempt that has not started. */
    static final StartConditions NOT_STARTED = new StartConditions(0, false, 0, 0);
}
