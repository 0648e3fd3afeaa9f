package org.dogwoodwood.core.balancing;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/**
 * What a call needs when its target is chosen.
 *
 * @param objectiveNanos the time within which the answer keeps its full value, in nanoseconds; 0 if
 *     the objective has passed or there is none
 * @param deadlineNanos the time within which the answer is due, in nanoseconds
 * @param requestBytes the size of the request's body
 */
public record CallNeeds(long objectiveNanos, long deadlineNanos, long requestBytes) {

    /** Checks that nothing is negative. */
    public CallNeeds {
        checkArgument(objectiveNanos >= 0, "The time to the objective must not be negative.");
        checkArgument(deadlineNanos >= 0, "The time to the deadline must not be negative.");
        checkArgument(requestBytes >= 0, "The size of the request must not be negative.");
    }

    /**
     * Returns the needs of a call; times that have passed count as 0.
     *
     * @param objectiveNanos the time to the objective, in nanoseconds
     * @param deadlineNanos the time to the deadline, in nanoseconds
     * @param requestBytes the size of the request's body
     */
    public static CallNeeds of(long objectiveNanos, long deadlineNanos, long requestBytes) {
        return new CallNeeds(Math.max(0, objectiveNanos), Math.max(0, deadlineNanos), requestBytes);
    }

    /** Returns the time by which the call gains most: to its objective, or else to its deadline. */
    long usefulNanos() {
        return objectiveNanos > 0 ? Math.min(objectiveNanos, deadlineNanos) : deadlineNanos;
    }
}
