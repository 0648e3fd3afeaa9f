package org.dogwoodwood.node.guard;

/**
 * What a guard knows of its target when an attempt starts there.
 *
 * @param slowdown how long work takes, as a multiple of the usual time; 0 if the target has not
 *     told it
 * @param slow whether work takes several times as long as usual
 * @param speedAgeNanos how long ago the target told its load, in nanoseconds
 * @param inFlight the calls that the target works on, with this one
 */
record StartConditions(double slowdown, boolean slow, long speedAgeNanos, int inFlight) {

    /** The conditions of an attempt that has not started. */
    static final StartConditions NOT_STARTED = new StartConditions(0, false, 0, 0);
}
