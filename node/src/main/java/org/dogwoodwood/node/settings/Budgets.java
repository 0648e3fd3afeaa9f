package org.dogwoodwood.node.settings;

import org.dogwoodwood.core.measurement.MeasurementBudget;

/**
 * What a node may spend.
 *
 * @param pollsPerSecond polls of the target per second however few calls there are
 * @param pollCallShare polls of the target per call
 * @param slowSenderMillis the longest time for a caller to send one request, in milliseconds
 * @param stopSeconds the longest time for calls in flight to end at a graceful stop, in seconds
 * @param leaveMillis how long a leaving node keeps accepting requests, so that callers and peers
 *     can learn that it leaves, in milliseconds
 */
public record Budgets(
        double pollsPerSecond,
        double pollCallShare,
        int slowSenderMillis,
        int stopSeconds,
        int leaveMillis) {

    private static final int DEFAULT_LEAVE_MILLIS = 300;

    /** The budgets of a node whose settings name none. */
    public static final Budgets DEFAULT =
            new Budgets(
                    MeasurementBudget.DEFAULT_POLLS_PER_SECOND,
                    MeasurementBudget.DEFAULT_CALL_SHARE,
                    10_000,
                    30,
                    DEFAULT_LEAVE_MILLIS);

    /** Creates budgets with the usual time for leaving. */
    public Budgets(
            double pollsPerSecond, double pollCallShare, int slowSenderMillis, int stopSeconds) {
        this(pollsPerSecond, pollCallShare, slowSenderMillis, stopSeconds, DEFAULT_LEAVE_MILLIS);
    }
}
