package org.dogwoodwood.core.idempotency;

import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.TargetAnswer;

/** The idempotency keys that one guard owns, with the outcomes of their calls. Not thread-safe. */
public interface IdempotencyRegistry {

    /**
     * Decides whether to run, answer or refuse a call with a key, immediately before its admission.
     *
     * @param call the call, whose key is present
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    KeyDecision begin(CallDescription call, long nowNanos);

    /**
     * Stores the answer of a call that ran.
     *
     * @param call a call that {@link #begin} decided to run
     * @param answer the target's answer, not null
     * @param nowNanos the current time in nanoseconds
     */
    void complete(CallDescription call, TargetAnswer answer, long nowNanos);

    /**
     * Removes a call that certainly did not run, so that its key can be used again.
     *
     * @param call a call that {@link #begin} decided to run
     */
    void release(CallDescription call);

    /**
     * Marks the outcome of a call as unknown; its key stays in doubt for the key window.
     *
     * @param call a call that {@link #begin} decided to run
     * @param nowNanos the current time in nanoseconds
     */
    void markInDoubt(CallDescription call, long nowNanos);

    /**
     * Returns whether a call may still be sent to the target. It must be checked immediately before
     * sending, since the call may have waited in a queue after {@link #begin}. A call that may not
     * start did not run and must be passed to {@link #release}.
     *
     * @param call a call that {@link #begin} decided to run
     * @param nowNanos the current time in nanoseconds
     */
    default boolean mayStart(CallDescription call, long nowNanos) {
        return true;
    }
}
