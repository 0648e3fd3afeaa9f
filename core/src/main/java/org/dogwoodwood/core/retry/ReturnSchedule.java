package org.dogwoodwood.core.retry;

import java.util.random.RandomGenerator;

/**
 * Chooses when refused callers of a service return: when the queue has drained, one after another
 * at the pace at which this node's part of the targets serves them. Not thread-safe.
 */
public final class ReturnSchedule {

    private static final long MIN_DELAY_NANOS = 50_000_000;

    /** Callers return only within this part of the time that they have left. */
    private static final int TIME_LEFT_DIVISOR = 3;

    private long nextReturnNanos;
    private boolean started;

    private ReturnSchedule() {}

    /** Returns a schedule without callers. */
    public static ReturnSchedule create() {
        return new ReturnSchedule();
    }

    /**
     * Returns the time after which a refused caller should return, in nanoseconds.
     *
     * @param drainNanos the expected time until a slot is free, in nanoseconds
     * @param spacingNanos the time between two calls that this node's part of the targets can
     *     serve, in nanoseconds
     * @param timeLeftNanos the time to the caller's deadline, in nanoseconds
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     * @param random the source of randomness, not null
     */
    public long nextDelayNanos(
            long drainNanos,
            long spacingNanos,
            long timeLeftNanos,
            long nowNanos,
            RandomGenerator random) {
        long earliest = nowNanos + Math.max(MIN_DELAY_NANOS, drainNanos);
        boolean queued = started && nextReturnNanos - earliest > 0;
        long turn = queued ? nextReturnNanos : earliest;
        long spacing = Math.max(1, spacingNanos);
        long latest = Math.max(1, timeLeftNanos / TIME_LEFT_DIVISOR);
        long delay = turn - nowNanos + random.nextLong(spacing);
        if (delay <= latest) {
            started = true;
            nextReturnNanos = turn + spacing;
            return delay;
        }
        // The turn comes too late for this caller; it takes its chance in the second half of its
        // time, and the turn remains for another one.
        return latest - random.nextLong(Math.max(1, latest / 2));
    }
}
