package org.dogwoodwood.core.health;

/**
 * The evidence against a request since a target last answered it.
 *
 * @param crashes the number of crashes of targets during which the request was in flight
 * @param trialWeight the weight of those that happened while the request was on trial; {@link
 *     #PROOF} for each that proves that the request is the cause, less for doubtful ones
 * @param lastTrialNanos when the last one with a weight was observed, on the monotonic clock, in
 *     nanoseconds
 * @param answeredBefore whether a target is known to have answered the request before
 */
public record CrashSuspicion(
        int crashes, int trialWeight, long lastTrialNanos, boolean answeredBefore) {

    /** The weight of a crash on trial that proves that the request is the cause. */
    static final int PROOF = 3;

    /** The longest time between two trials, as a multiple of the hold time of the policy. */
    static final int MAX_HOLDS = 8;

    private static final int LOG_MAX_HOLDS = 3;

    /** By which power of two the time grows with each crash on trial that is doubtful. */
    private static final int LOG_STEP_OF_DOUBTFUL = 2;

    /** Returns the evidence of crashes that happened while the request was not on trial. */
    public static CrashSuspicion ofCrashes(int crashes) {
        return new CrashSuspicion(crashes, 0, 0, false);
    }

    /** Returns how the request may run under a policy. */
    public CrashStatus status(CrashPolicy policy) {
        if (crashes == 0) {
            return CrashStatus.CLEAR;
        }
        boolean blocked = trialWeight > 0 || crashes >= policy.crashLimit();
        return blocked ? CrashStatus.BLOCKED : CrashStatus.SUSPECT;
    }

    /**
     * Returns whether a blocked request may be tried. A crash with other requests in flight is weak
     * evidence, so the first trial is due at once; after a crash on trial, the request is refused
     * for a time that depends on how much such crashes say.
     */
    public boolean isTrialDue(CrashPolicy policy, long nowNanos) {
        return trialWeight == 0 || nowNanos - lastTrialNanos >= refusedNanos(policy);
    }

    /** Returns for how long the request is refused after the last crash on trial. */
    public long refusedNanos(CrashPolicy policy) {
        if (trialWeight == 0) {
            return 0;
        }
        int beyondProof = trialWeight - PROOF;
        return beyondProof < 0
                ? policy.holdNanos() >> (-beyondProof * LOG_STEP_OF_DOUBTFUL)
                : policy.holdNanos() << Math.min(beyondProof, LOG_MAX_HOLDS);
    }
}
