package org.dogwoodwood.benchmarks.simulation;

/**
 * How long calls take and how long their callers wait.
 *
 * @param meanNanos the mean work of a call, in nanoseconds at full speed
 * @param objectiveNanos the time within which an answer has its full value, in nanoseconds
 * @param timeoutNanos the time that callers wait, in nanoseconds
 */
public record CallTimes(double meanNanos, long objectiveNanos, long timeoutNanos) {

    /** Short calls of patient callers. */
    public static final CallTimes SHORT = new CallTimes(6e6, 2_000_000_000L, 2_000_000_000L);

    /** Long calls whose callers wait for a few times their work. */
    public static final CallTimes LONG = new CallTimes(130e6, 350_000_000L, 800_000_000L);
}
