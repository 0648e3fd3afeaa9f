package org.dogwoodwood.core.measurement;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/**
 * Limits polls and probes to the larger of a fixed rate and a share of the calls. Not thread-safe.
 */
public final class MeasurementBudget {

    public static final double DEFAULT_POLLS_PER_SECOND = 2.0;
    public static final double DEFAULT_CALL_SHARE = 0.01;

    /** Higher limits would allow bursts of polls. */
    private static final double MAX_TOKENS = 2.0;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double pollsPerSecond;
    private final double callShare;
    private double timeTokens = 1.0;
    private double callTokens;
    private long lastNanos;

    private MeasurementBudget(double pollsPerSecond, double callShare, long nowNanos) {
        this.pollsPerSecond = pollsPerSecond;
        this.callShare = callShare;
        this.lastNanos = nowNanos;
    }

    /**
     * Returns a budget.
     *
     * @param pollsPerSecond polls allowed per second regardless of the number of calls, not
     *     negative
     * @param callShare polls allowed per call, from 0 to 1
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public static MeasurementBudget of(double pollsPerSecond, double callShare, long nowNanos) {
        checkArgument(pollsPerSecond >= 0, "The rate of polls must not be negative.");
        checkArgument(callShare >= 0 && callShare <= 1, "The share of calls must be from 0 to 1.");
        return new MeasurementBudget(pollsPerSecond, callShare, nowNanos);
    }

    /** Returns a budget with the default rate and share. */
    public static MeasurementBudget withDefaults(long nowNanos) {
        return of(DEFAULT_POLLS_PER_SECOND, DEFAULT_CALL_SHARE, nowNanos);
    }

    /** Counts one call, which adds its share of a poll to the budget. */
    public void onCall() {
        callTokens = Math.min(MAX_TOKENS, callTokens + callShare);
    }

    /**
     * Spends one poll if the budget allows it.
     *
     * @param nowNanos the current time in nanoseconds
     * @return whether the poll may be sent
     */
    public boolean tryPoll(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
        lastNanos = Math.max(lastNanos, nowNanos);
        timeTokens = Math.min(MAX_TOKENS, timeTokens + elapsedSeconds * pollsPerSecond);
        if (timeTokens < 1 && callTokens < 1) {
            return false;
        }
        // A poll spends both kinds of tokens, so that polls never exceed the larger of the two
        // limits.
        timeTokens = Math.max(0, timeTokens - 1);
        callTokens = Math.max(0, callTokens - 1);
        return true;
    }
}
