package org.dogwoodwood.core.health;

/**
 * The evidence against a request since a target last answered it.
 *
 * @param crashes the number of crashes of targets during which the request was in flight
 * @param trialCrashes how many of them happened while the request was on trial
 * @param lastCrashNanos when the last one was observed, on the monotonic clock, in nanoseconds
 */
public record CrashSuspicion(int crashes, int trialCrashes, long lastCrashNanos) {

    private static final int MAX_DOUBLINGS = 3;

    /** The longest time between two trials, as a multiple of the hold time of the policy. */
    static final int MAX_HOLDS = 1 << MAX_DOUBLINGS;

    /** Returns how the request may run under a policy. */
    public CrashStatus status(CrashPolicy policy) {
        if (crashes == 0) {
            return CrashStatus.CLEAR;
        }
        boolean blocked = trialCrashes > 0 || crashes >= policy.crashLimit();
        return blocked ? CrashStatus.BLOCKED : CrashStatus.SUSPECT;
    }

    /**
     * Returns whether a blocked request may be tried. A crash with other requests in flight is weak
     * evidence, so the first trial is due at once; after each crash on trial, the request is
     * refused for some time.
     */
    public boolean isTrialDue(CrashPolicy policy, long nowNanos) {
        if (trialCrashes == 0) {
            return true;
        }
        int holds = 1 << Math.min(trialCrashes - 1, MAX_DOUBLINGS);
        return nowNanos - lastCrashNanos >= holds * policy.holdNanos();
    }
}
