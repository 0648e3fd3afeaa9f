package org.dogwoodwood.core.balancing;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/**
 * The time that a call has left when its target is chosen.
 *
 * @param objectiveNanos the time within which the answer keeps its full value, in nanoseconds; 0 if
 *     the objective has passed or there is none
 * @param deadlineNanos the time within which the answer is due, in nanoseconds
 */
public record TimeLeft(long objectiveNanos, long deadlineNanos) {

    /** Checks that no time is negative. */
    public TimeLeft {
        checkArgument(objectiveNanos >= 0, "The time to the objective must not be negative.");
        checkArgument(deadlineNanos >= 0, "The time to the deadline must not be negative.");
    }

    /** Returns the time left of a call without an objective or a deadline. */
    public static TimeLeft unlimited() {
        return new TimeLeft(Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /**
     * Returns the time left of a call; times that have passed count as 0.
     *
     * @param objectiveNanos the time to the objective, in nanoseconds
     * @param deadlineNanos the time to the deadline, in nanoseconds
     */
    public static TimeLeft of(long objectiveNanos, long deadlineNanos) {
        return new TimeLeft(Math.max(0, objectiveNanos), Math.max(0, deadlineNanos));
    }

    /** Returns the time by which the call gains most: to its objective, or else to its deadline. */
    long usefulNanos() {
        return objectiveNanos > 0 ? Math.min(objectiveNanos, deadlineNanos) : deadlineNanos;
    }
}
