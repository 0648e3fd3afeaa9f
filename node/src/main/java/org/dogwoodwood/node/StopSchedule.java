package org.dogwoodwood.node;

import java.util.concurrent.TimeUnit;
import org.dogwoodwood.node.settings.Budgets;

/**
 * The times of a graceful stop. They count from the moment at which the process was told to end,
 * since the platform's grace time does, too, whatever the process was doing then.
 *
 * @param leaveUntilNanos until when callers have time to leave, on the monotonic clock, in
 *     nanoseconds
 * @param untilNanos until when calls in flight may end, in nanoseconds
 */
record StopSchedule(long leaveUntilNanos, long untilNanos) {

    /**
     * Returns the schedule of a node.
     *
     * @param requestedNanos when the process was told to end, in nanoseconds
     */
    static StopSchedule of(Budgets budgets, long requestedNanos) {
        long leaveUntil = requestedNanos + TimeUnit.MILLISECONDS.toNanos(budgets.leaveMillis());
        return new StopSchedule(
                leaveUntil, leaveUntil + TimeUnit.SECONDS.toNanos(budgets.stopSeconds()));
    }

    /** Returns the time that callers still have to leave, in milliseconds; may be negative. */
    long leaveMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(leaveUntilNanos - nowNanos);
    }
}
