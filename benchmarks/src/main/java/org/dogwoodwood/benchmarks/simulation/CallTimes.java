package org.dogwoodwood.benchmarks.simulation;

/**
 * The mean demand, latency objective and timeout of calls.
 *
 * @param meanDemandNanos the mean work of a call, in nanoseconds at full speed
 * @param objectiveNanos the time within which an answer has its full value, in nanoseconds
 * @param timeoutNanos the time for which callers wait, in nanoseconds
 */
public record CallTimes(double meanDemandNanos, long objectiveNanos, long timeoutNanos) {

    /** Short calls with a timeout of many times their mean demand. */
    public static final CallTimes SHORT = new CallTimes(6e6, 2_000_000_000L, 2_000_000_000L);

    /** Long calls with a timeout of a few times their mean demand. */
    public static final CallTimes LONG = new CallTimes(130e6, 350_000_000L, 800_000_000L);
}
