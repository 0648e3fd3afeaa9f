package org.dogwoodwood.node.control;

import org.dogwoodwood.core.membership.MembershipTimings;

/**
 * The timings of the control plane, in milliseconds unless named otherwise.
 *
 * @param gossipIntervalMillis the interval between gossip rounds
 * @param exchangeTimeoutMillis the timeout of an exchange with a peer
 * @param pollWaitMillis how long a long poll of the log waits for a record; well below the lease of
 *     key owners, which a read without records renews
 * @param readPauseMillis the mean first pause after a read that returned records, doubled once and
 *     then 32 times as long; gossip disseminates members as well, and without pauses each record
 *     would make every node read again
 * @param retryMillis the upper bound of the first delay after a failed request to the log
 * @param appendIntervalMillis the minimum interval between two appends that are not urgent
 * @param appendSpreadMillis the minimum interval over which appends are spread after an outage
 * @param retentionMillis the retention time of the log's records
 * @param rankDelayMillis how long a node waits per node that ranks before it until it appends a
 *     renewal or removal itself
 * @param expireAfterMillis how long a member is dead before its registration is removed; until then
 *     no node can take over the keys that it owned
 * @param membership the timings of failure detection
 */
public record ControlTimings(
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

    /** Returns the default timings, for a log with a retention time of one week. */
    public static ControlTimings defaults() {
        return new ControlTimings(
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
     * Returns the timings for a compacted log, which keeps the newest record of each subject
     * forever, where each read has a cost and no key ownership depends on it.
     */
    public static ControlTimings forCompactedLog() {
        return new ControlTimings(
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

    /** Returns these timings for a log with another retention time. */
    public ControlTimings withRetentionMillis(long newRetentionMillis) {
        return new ControlTimings(
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
