package org.dogwoodwood.core.health;

import java.util.Optional;

/** What was observed of a request, in relation to crashes of targets. */
public enum CrashKind {
    /** The request was one of those in flight when a target crashed. */
    CRASHED(1, 1),
    /**
     * The request was in flight on trial when the target crashed, which shows that it is the cause.
     */
    TRIAL_CRASHED(2, CrashKind.RETAINED_HOLDS),
    /** A target answered the request, which a request that crashes targets never reaches. */
    CLEARED(3, CrashKind.RETAINED_HOLDS);

    /** Twice the longest time for which a request is refused between two trials. */
    private static final int RETAINED_HOLDS = 2 * CrashSuspicion.MAX_HOLDS;

    private final int code;
    private final int retainedHolds;

    CrashKind(int code, int retainedHolds) {
        this.code = code;
        this.retainedHolds = retainedHolds;
    }

    /** Returns the kind with the given number, or empty if there is none. */
    public static Optional<CrashKind> fromCode(int code) {
        for (CrashKind kind : values()) {
            if (kind.code == code) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the stable number of this kind in messages. */
    public int code() {
        return code;
    }

    /** Returns whether the observation counts as a crash of a target. */
    public boolean isCrash() {
        return this != CLEARED;
    }

    /**
     * Returns how long an observation is kept, in nanoseconds.
     *
     * @param holdNanos the time for which a request is refused after the first crash on trial
     */
    long retentionNanos(long holdNanos) {
        return retainedHolds * holdNanos;
    }
}
