package org.dogwoodwood.core.retry;

/**
 * What the ingress knows of a call that waits for its first attempt, when it considers a hedge.
 *
 * @param elapsedNanos the time since the first attempt was sent, in nanoseconds
 * @param timeLeftNanos the time left to the objective, or to the deadline if there is no objective,
 *     in nanoseconds
 * @param hasObjective whether the time left is that to an objective that has not passed
 * @param usualNanos the usual service time of calls of the service, in nanoseconds, or 0 if it is
 *     unknown
 * @param firstSlowdown the highest known service time of the first target since the attempt was
 *     sent, as a multiple of the usual one
 * @param firstWaitNanos the wait that was expected at the first target when the attempt was sent,
 *     in nanoseconds
 * @param otherSlowdown the present service time of the second target as a multiple of the usual one
 * @param otherWaitNanos the expected wait at the second target, in nanoseconds
 */
public record HedgeView(
        long elapsedNanos,
        long timeLeftNanos,
        boolean hasObjective,
        long usualNanos,
        double firstSlowdown,
        long firstWaitNanos,
        double otherSlowdown,
        long otherWaitNanos) {}
