package org.dogwoodwood.benchmarks.simulation;

/**
 * The conditions of one run; within a scenario, all policies get the same calls and neighbours.
 *
 * @param workload the workload
 * @param serviceTimes the distribution of the demand of calls
 * @param load the calls offered, as a share of the capacity that neighbours leave to the targets
 * @param seed the seed of calls and neighbours
 * @param seconds the measured time, in virtual seconds after the warm-up
 */
public record Scenario(
        Workload workload, ServiceTimes serviceTimes, double load, long seed, int seconds) {

    public static final long WARM_UP_NANOS = 1_000_000_000L;

    /** Returns the virtual time after which no call is sent, in nanoseconds. */
    public long endNanos() {
        return WARM_UP_NANOS + seconds * 1_000_000_000L;
    }
}
