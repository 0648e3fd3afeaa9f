package org.dogwoodwood.core.retry;

import java.util.OptionalLong;

/** Decides when an idempotent call without an answer is also sent to a second target. */
public interface HedgeStrategy {

    /**
     * Records the latency of an answered call.
     *
     * @param latencyNanos the time from the first attempt to the answer, in nanoseconds
     */
    void onAnswered(long latencyNanos);

    /**
     * Returns the time to wait for the first attempt before sending a hedge, in nanoseconds, or
     * empty if calls are currently not hedged.
     */
    OptionalLong delayNanos();

    /**
     * Returns the interval, in nanoseconds, at which to check again whether a hedge would help a
     * call that has already waited for {@link #delayNanos}.
     */
    long recheckNanos();

    /** Spends one hedge of the budget; returns false if the budget is exhausted. */
    boolean tryHedge();
}
