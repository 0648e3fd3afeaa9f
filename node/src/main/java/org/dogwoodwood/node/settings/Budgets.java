package org.dogwoodwood.node.settings;

import org.dogwoodwood.core.measurement.MeasurementBudget;

/**
 * Limits of the polls that a node sends, and of the time that it allows to callers and to a stop.
 *
 * @param pollsPerSecond polls of the target that are allowed per second regardless of the call rate
 * @param pollCallShare polls of the target that are allowed per call, if these are more
 * @param slowSenderMillis the maximum time for a caller to send one request, in milliseconds
 * @param stopSeconds the maximum time for calls in flight to end during a graceful stop, in seconds
 * @param leaveMillis how long a leaving node keeps accepting requests, so that callers and peers
 *     can switch to other nodes, in milliseconds
 */
public record Budgets(
        double pollsPerSecond,
        double pollCallShare,
        int slowSenderMillis,
        int stopSeconds,
        int leaveMillis) {

    private static final int DEFAULT_LEAVE_MILLIS = 300;

    /** The budgets of a node whose settings have no table for them. */
    public static final Budgets DEFAULT =
            new Budgets(
                    MeasurementBudget.DEFAULT_POLLS_PER_SECOND,
                    MeasurementBudget.DEFAULT_CALL_SHARE,
                    10_000,
                    30,
                    DEFAULT_LEAVE_MILLIS);

    /** Creates budgets with the default leave time. */
    public Budgets(
            double pollsPerSecond, double pollCallShare, int slowSenderMillis, int stopSeconds) {
        this(pollsPerSecond, pollCallShare, slowSenderMillis, stopSeconds, DEFAULT_LEAVE_MILLIS);
    }
}
