package org.dogwoodwood.core.retry;

import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.Outcome;

/** Decides whether a call is sent to another target after an attempt without an answer. */
public interface RetryStrategy {

    /**
     * Lowest attempt number of a call that has waited in a guard's queue and was then sent to
     * another target.
     */
    int MIN_ATTEMPT_AFTER_QUEUEING = 3;

    /**
     * If the expected wait at the chosen target exceeds both this time, in nanoseconds, and {@link
     * #ALL_BUSY_WAIT_RATIO}, all targets are considered busy, and trying them in turn would only
     * delay a refusal.
     */
    long ALL_BUSY_WAIT_NANOS = 12_000_000;

    /**
     * The same threshold as a share of the usual service time: for a long call, trying further
     * guards costs little in comparison.
     */
    double ALL_BUSY_WAIT_RATIO = 0.3;

    /**
     * Returns whether the guard may queue the next attempt. A guard without a free slot immediately
     * refuses attempts that may not be queued, so that the ingress can try another target.
     *
     * @param attemptsMade the number of attempts of the call so far
     * @param untriedTargets the number of candidates that have not refused the call
     */
    boolean mayQueue(int attemptsMade, int untriedTargets);

    /**
     * Returns whether the guard may queue the next attempt.
     *
     * @param attemptsMade the number of attempts of the call so far
     * @param untriedTargets the number of candidates that have not refused the call
     * @param expectedWaitNanos the expected wait for a slot at the chosen target, in nanoseconds
     * @param serviceNanos the usual service time of calls of the service, in nanoseconds, or 0 if
     *     it is unknown
     */
    default boolean mayQueue(
            int attemptsMade, int untriedTargets, long expectedWaitNanos, long serviceNanos) {
        double allBusyNanos = Math.max(ALL_BUSY_WAIT_NANOS, ALL_BUSY_WAIT_RATIO * serviceNanos);
        return expectedWaitNanos > allBusyNanos || mayQueue(attemptsMade, untriedTargets);
    }

    /**
     * Returns the number of the next attempt. Guards do not refuse attempts from {@link
     * #MIN_ATTEMPT_AFTER_QUEUEING} on as overloaded.
     *
     * @param attemptsMade the number of attempts of the call so far
     * @param mayHaveQueued whether the attempt that was refused as busy was allowed to queue, so
     *     that the call may have waited already
     */
    default int nextAttempt(int attemptsMade, boolean mayHaveQueued) {
        return mayHaveQueued ? Math.max(attemptsMade, MIN_ATTEMPT_AFTER_QUEUEING) : attemptsMade;
    }

    /**
     * Returns whether to send a call again after an attempt that ended without an answer from the
     * target. A positive decision may spend a retry of the budget.
     *
     * @param attemptsMade the number of attempts of the call so far, including the one that ended
     * @param outcome the known effect of the attempt, not null
     * @param code why the attempt ended, not null
     * @param idempotent whether the call may run more than once
     * @param remainingNanos the time until the call's deadline, in nanoseconds
     * @return whether to send the call again
     */
    boolean shouldRetry(
            int attemptsMade,
            Outcome outcome,
            ErrorCode code,
            boolean idempotent,
            long remainingNanos);
}
