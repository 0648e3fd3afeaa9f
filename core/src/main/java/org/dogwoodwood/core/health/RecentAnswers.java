package org.dogwoodwood.core.health;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * The requests that targets have answered lately, as far as they fit into a table of fixed size.
 * Not thread-safe.
 *
 * <p>Of two requests with the same place in the table, the later answer is kept, so those that are
 * answered often are known.
 */
public final class RecentAnswers {

    private static final int PLACES = 1 << 14;
    private static final long NEVER = Long.MIN_VALUE;

    private final long[] fingerprints = new long[PLACES];
    private final long[] answeredNanos = new long[PLACES];

    private RecentAnswers() {
        Arrays.fill(answeredNanos, NEVER);
    }

    /** Returns a table without answers. */
    public static RecentAnswers create() {
        return new RecentAnswers();
    }

    /**
     * Records that a target answered a request.
     *
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public void add(long fingerprint, long nowNanos) {
        int place = placeOf(fingerprint);
        fingerprints[place] = fingerprint;
        answeredNanos[place] = nowNanos;
    }

    /** Returns the time since the last known answer to a request, in nanoseconds. */
    public OptionalLong ageNanos(long fingerprint, long nowNanos) {
        int place = placeOf(fingerprint);
        boolean known = answeredNanos[place] != NEVER && fingerprints[place] == fingerprint;
        return known ? OptionalLong.of(nowNanos - answeredNanos[place]) : OptionalLong.empty();
    }

    // Fingerprints are hashes.
    private static int placeOf(long fingerprint) {
        return (int) (fingerprint & (PLACES - 1));
    }
}
