package org.dogwoodwood.node.control;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter: random delays whose upper bound doubles with each failure, so
 * that nodes that fail at the same time do not retry at the same time. Not thread-safe.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 20;

    private final long baseMillis;
    private final RandomGenerator random;
    private int failures;

    private Backoff(long baseMillis, RandomGenerator random) {
        this.baseMillis = baseMillis;
        this.random = random;
    }

    /**
     * Returns a backoff without failures.
     *
     * @param baseMillis the upper bound of the first delay, in milliseconds
     * @param random the source of randomness, not null
     */
    public static Backoff create(long baseMillis, RandomGenerator random) {
        return new Backoff(baseMillis, random);
    }

    /**
     * Counts a failure and returns the delay before the next attempt.
     *
     * @param maxMillis the upper bound, in milliseconds
     * @return a delay of at least 1 ms and at most the bound
     */
    public long nextDelayMillis(long maxMillis) {
        long bound = Math.min(maxMillis, baseMillis << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return 1 + random.nextLong(Math.max(1, bound));
    }

    /**
     * Counts a failure and returns a delay that is uniform over the whole bound, however many
     * failures there were.
     *
     * @param boundMillis the upper bound, in milliseconds
     */
    public long nextUniformDelayMillis(long boundMillis) {
        failures++;
        return 1 + random.nextLong(Math.max(1, boundMillis));
    }

    /** Resets the number of failures, and with it the upper bound of the next delay. */
    public void reset() {
        failures = 0;
    }

    /** Returns the number of failures since the last success. */
    public int failures() {
        return failures;
    }
}
