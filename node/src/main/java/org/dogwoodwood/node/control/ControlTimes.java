package org.dogwoodwood.node.control;

import org.dogwoodwood.core.membership.MembershipTimings;

/**
 * The times of the control plane, in milliseconds unless named otherwise.
 *
 * @param gossipIntervalMillis between two rounds of gossip
 * @param exchangeTimeoutMillis how long an exchange with a peer may take
 * @param pollWaitMillis how long a read of the log waits for a record; well below the lease of key
 *     owners, which a read that shows no record renews
 * @param readPauseMillis the mean first pause after a read that showed records, doubled once and
 *     then 32 times as long; members learn of each other by gossip as well, and one record would
 *     otherwise make each node read again
 * @param retryMillis the longest first delay after a failed request to the log
 * @param appendIntervalMillis the least time between two appends that are not urgent
 * @param appendSpreadMillis the time over which appends are spread after an outage
 * @param retentionMillis how long the log keeps records
 * @param rankDelayMillis how long a node waits for each one that ranks before it for a renewal
 * @param expireAfterMillis how long a member is dead before its registration is removed; until then
 *     nobody can take over the keys that it owned
 * @param membership the times of failure detection
 */
public record ControlTimes(
        long gossipIntervalMillis,
        long exchangeTimeoutMillis,
        long pollWaitMillis,
        long readPauseMillis,
        long retryMillis,
        long appendIntervalMillis,
        long appendSpreadMillis,
        long retentionMillis,
        long rankDelayMillis,
        long expireAfterMillis,
        MembershipTimings membership) {

    private static final long DAY_MILLIS = 86_400_000;

    /** Returns the times of the design for a log that keeps records for a week. */
    public static ControlTimes defaults() {
        return new ControlTimes(
                250,
                400,
                2_000,
                0,
                1_000,
                10_000,
                60_000,
                7 * DAY_MILLIS,
                15_000,
                10_000,
                MembershipTimings.defaults());
    }

    /**
     * Returns the times for a log that keeps the newest record about each subject for ever, where
     * each read has a price and no owner of keys depends on it.
     */
    public static ControlTimes forKeptLog() {
        return new ControlTimes(
                500,
                400,
                20_000,
                500,
                2_000,
                1_000,
                4_000,
                5_200 * DAY_MILLIS,
                15_000,
                10_000,
                MembershipTimings.defaults());
    }

    /** Returns these times for a log with another retention time. */
    public ControlTimes withRetentionMillis(long newRetentionMillis) {
        return new ControlTimes(
                gossipIntervalMillis,
                exchangeTimeoutMillis,
                pollWaitMillis,
                readPauseMillis,
                retryMillis,
                appendIntervalMillis,
                appendSpreadMillis,
                newRetentionMillis,
                rankDelayMillis,
                expireAfterMillis,
                membership);
    }
}
