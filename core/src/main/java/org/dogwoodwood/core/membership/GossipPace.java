package org.dogwoodwood.core.membership;

/**
 * Decides how much gossip each round exchanges, so that a node whose members do not change spends
 * little on it. Not thread-safe.
 */
public final class GossipPace {

    /** The time between two quiet rounds, in nanoseconds. */
    static final long QUIET_INTERVAL_NANOS = 1_000_000_000L;

    // Leaves time for further rounds before a lease without acknowledgements ends.
    private static final long MAX_ACKNOWLEDGEMENT_AGE_NANOS = QUIET_INTERVAL_NANOS * 5 / 4;

    // Timers fire a little early or late; a round that is due within this time is not skipped.
    private static final long TIMER_TOLERANCE_NANOS = 50_000_000L;

    private long lastRoundNanos;

    private GossipPace(long nowNanos) {
        lastRoundNanos = nowNanos - QUIET_INTERVAL_NANOS;
    }

    /** Returns a pace whose first round is due now, in nanoseconds of the monotonic clock. */
    public static GossipPace create(long nowNanos) {
        return new GossipPace(nowNanos);
    }

    /**
     * Returns what the round at a tick of the gossip timer exchanges.
     *
     * @param news what waits to be spread, not null
     * @param acknowledgedNanos when the exchange that last renewed the lease of this node was sent,
     *     in nanoseconds
     * @param nowNanos the current time in nanoseconds
     */
    public GossipRound next(GossipNews news, long acknowledgedNanos, long nowNanos) {
        boolean unacknowledged = nowNanos - acknowledgedNanos > MAX_ACKNOWLEDGEMENT_AGE_NANOS;
        if (news != GossipNews.NONE || unacknowledged) {
            lastRoundNanos = nowNanos;
            boolean full = news == GossipNews.URGENT || unacknowledged;
            return full ? GossipRound.FULL : GossipRound.NEWS;
        }
        if (nowNanos - lastRoundNanos >= QUIET_INTERVAL_NANOS - TIMER_TOLERANCE_NANOS) {
            lastRoundNanos = nowNanos;
            return GossipRound.QUIET;
        }
        return GossipRound.SKIPPED;
    }
}
