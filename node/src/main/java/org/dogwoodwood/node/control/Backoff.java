package org.dogwoodwood.node.control;

import java.util.random.RandomGenerator;

/**
 * Random delays whose upper bound doubles with each failure, so that many nodes that fail together
 * do not try again together; used by one thread.
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
     * Returns delays that have seen no failure.
     *
     * @param baseMillis the longest first delay, in milliseconds
     * @param random the source of randomness, not null
     */
    public static Backoff create(long baseMillis, RandomGenerator random) {
        return new Backoff(baseMillis, random);
    }

    /** Returns the delay after one more failure, at least 1 ms and at most a bound. */
    public long nextDelayMillis(long maxMillis) {
        long bound = Math.min(maxMillis, baseMillis << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return 1 + random.nextLong(Math.max(1, bound));
    }

    /** Returns the delay after one more failure, at random over the whole of a bound. */
    public long nextDelayOver(long boundMillis) {
        failures++;
        return 1 + random.nextLong(Math.max(1, boundMillis));
    }

    /** Starts again with the shortest delay. */
    public void reset() {
        failures = 0;
    }

    /** Returns the number of failures since the last success. */
    public int failures() {
        return failures;
    }
}
