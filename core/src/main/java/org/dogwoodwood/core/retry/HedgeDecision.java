package org.dogwoodwood.core.retry;

/** Whether a call that waits for its first attempt gets a second one now. */
public enum HedgeDecision {
    /** Send the hedge now, if the budget allows it. */
    SEND,
    /** A hedge does not help at present; check again later. */
    WAIT,
    /** No hedge can help this call any more. */
    NEVER;

    /** Smaller slowdowns are within the error of the guards' estimates. */
    private static final double SLOW_RATIO = 1.5;

    /**
     * A second target whose expected wait is a larger share of the usual service time has no free
     * slot; a hedge there would displace another call.
     */
    private static final double FREE_WAIT_SHARE = 0.2;

    /** Error of the estimates, as a share of the usual service time. */
    private static final double MARGIN_SHARE = 0.5;

    /**
     * Returns whether a target is slow enough for a hedge to help.
     *
     * @param slowdown its service time as a multiple of the usual one
     */
    public static boolean isSlow(double slowdown) {
        return slowdown >= SLOW_RATIO;
    }

    /**
     * Decides on a hedge from the time left and the expected benefit of a second target.
     *
     * @param view what is known of the call, not null
     */
    public static HedgeDecision of(HedgeView view) {
        double usual = view.usualNanos();
        double other = view.otherWaitNanos() + usual * view.otherSlowdown();
        if (view.timeLeftNanos() <= usual) {
            return NEVER;
        }
        boolean waitsItsTurn = view.elapsedNanos() < view.firstWaitNanos();
        boolean displaces = view.otherWaitNanos() > FREE_WAIT_SHARE * usual;
        if (!isSlow(view.firstSlowdown())
                || isSlow(view.otherSlowdown())
                || waitsItsTurn
                || displaces
                || other > view.timeLeftNanos()) {
            return WAIT;
        }
        double first = view.firstWaitNanos() + usual * view.firstSlowdown() - view.elapsedNanos();
        double margin = MARGIN_SHARE * usual;
        boolean overdue = first <= 0;
        if (view.hasObjective()) {
            boolean inTime = first + margin <= view.timeLeftNanos();
            boolean last = view.timeLeftNanos() <= other + 2 * margin;
            return overdue ? (last ? SEND : WAIT) : (inTime ? WAIT : SEND);
        }
        return overdue || other + margin < first ? SEND : WAIT;
    }
}
