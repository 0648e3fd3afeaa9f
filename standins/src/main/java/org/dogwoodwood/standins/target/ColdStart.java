package org.dogwoodwood.standins.target;

/**
 * Models the cold start of a target. A cold target that runs more calls than its cold slots
 * collapses: it slows down, and the calls that it finishes meanwhile do not warm it up.
 */
final class ColdStart {

    private final int coldSlots;
    private int remainingColdCalls;

    ColdStart(int coldSlots, int calls) {
        this.coldSlots = coldSlots;
        this.remainingColdCalls = calls;
    }

    boolean isCold() {
        return remainingColdCalls > 0;
    }

    /** Makes the target cold until it has finished the given number of calls; 0 makes it warm. */
    void reset(int calls) {
        remainingColdCalls = calls;
    }

    boolean isCollapsed(int running) {
        return isCold() && running > coldSlots;
    }

    /** Returns the factor by which a call that starts now takes longer than on a warm target. */
    double slowdown(int running) {
        double excess = (double) running / coldSlots;
        return isCollapsed(running) ? excess * excess : 1;
    }

    void onFinished(int running) {
        if (isCold() && !isCollapsed(running)) {
            remainingColdCalls--;
        }
    }
}
