package org.dogwoodwood.core.health;

import java.util.Optional;

/** What was observed of a request, in relation to crashes of targets. */
public enum CrashKind {
    /** The request was one of those in flight when a target crashed. */
    CRASHED(1, 1),
    /** The target crashed right after it had begun to run the request on trial. */
    TRIAL_CRASHED(2, CrashKind.RETAINED_HOLDS),
    /** A target answered the request, which a request that crashes targets never reaches. */
    CLEARED(3, CrashKind.RETAINED_HOLDS),
    /** The target crashed when it had run the request on trial for a while. */
    TRIAL_CRASHED_LATE(4, CrashKind.RETAINED_HOLDS),
    /** A target crashed, whatever was in flight; of no request. */
    TARGET_CRASHED(5, CrashKind.RETAINED_HOLDS);

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

    /** Returns the kind of a crash at which a request was on trial. */
    static CrashKind of(TrialCrash crash) {
        return crash.late() ? TRIAL_CRASHED_LATE : TRIAL_CRASHED;
    }

    /** Returns the stable number of this kind in messages. */
    public int code() {
        return code;
    }

    /** Returns whether a request was in flight at the crash of a target. */
    public boolean isCrash() {
        return this == CRASHED || isTrial();
    }

    /** Returns whether a request was on trial at the crash of a target. */
    public boolean isTrial() {
        return this == TRIAL_CRASHED || this == TRIAL_CRASHED_LATE;
    }

    /**
     * Returns how long an observation is kept, in nanoseconds.
     *
     * @param holdNanos the time for which a request is refused after a crash on trial that proves
     *     that it is the cause
     */
    long retentionNanos(long holdNanos) {
        return retainedHolds * holdNanos;
    }
}
