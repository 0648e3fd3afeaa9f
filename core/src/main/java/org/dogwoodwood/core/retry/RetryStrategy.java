package org.dogwoodwood.core.retry;

import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.Outcome;

/** Decides whether a call whose attempt has ended without an answer is sent to another target. */
public interface RetryStrategy {

    /** The first attempt number of a call that has waited in a queue and was then moved. */
    int WAITED_ATTEMPT = 3;

    /**
     * If even the chosen target probably makes a call wait longer than this and than {@link
     * #QUEUE_AT_ONCE_WAIT_RATIO}, all targets are busy, and asking them in turn would only delay a
     * refusal.
     */
    long QUEUE_AT_ONCE_WAIT_NANOS = 12_000_000;

    /**
     * The same as a share of the usual service time: compared with a shorter wait, asking further
     * guards costs a long call next to nothing.
     */
    double QUEUE_AT_ONCE_WAIT_RATIO = 0.3;

    /**
     * Returns whether the guard may queue the next attempt. A guard without a free slot refuses
     * other attempts at once, so that the ingress can try elsewhere.
     *
     * @param attemptsMade the attempts of the call so far
     * @param untriedTargets the candidates that have not refused the call
     */
    boolean mayQueue(int attemptsMade, int untriedTargets);

    /**
     * Returns whether the guard may queue the next attempt.
     *
     * @param attemptsMade the attempts of the call so far
     * @param untriedTargets the candidates that have not refused the call
     * @param expectedWaitNanos how long the call would probably wait at the chosen target, in
     *     nanoseconds
     * @param serviceNanos how long calls of the service usually take, in nanoseconds; 0 if that is
     *     not known
     */
    default boolean mayQueue(
            int attemptsMade, int untriedTargets, long expectedWaitNanos, long serviceNanos) {
        double allBusyNanos =
                Math.max(QUEUE_AT_ONCE_WAIT_NANOS, QUEUE_AT_ONCE_WAIT_RATIO * serviceNanos);
        return expectedWaitNanos > allBusyNanos || mayQueue(attemptsMade, untriedTargets);
    }

    /**
     * Returns the number of the next attempt. Guards do not refuse a call as overloaded from
     * attempt {@link #WAITED_ATTEMPT} on.
     *
     * @param attemptsMade the attempts of the call so far
     * @param mayHaveQueued whether the attempt that was refused as busy was allowed to queue, so
     *     that the call may have waited already
     */
    default int nextAttempt(int attemptsMade, boolean mayHaveQueued) {
        return mayHaveQueued ? Math.max(attemptsMade, WAITED_ATTEMPT) : attemptsMade;
    }

    /**
     * Decides what follows an attempt that ended without an answer from the target.
     *
     * @param attemptsMade the attempts of the call so far, including the one that ended
     * @param outcome what is known of the attempt, not null
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
