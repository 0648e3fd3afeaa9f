package org.dogwoodwood.core.admission;

/**
 * Limits the calls in flight at a target that has started recently.
 *
 * <p>The bound starts at the cold slots and stays there while the target announces that it is cold.
 * It then rises only after a full round of calls that succeeded without a rise in service time. A
 * new incarnation, or a target that becomes cold again, restarts the ramp.
 */
final class ColdStartRamp {

    /**
     * A round whose mean service time exceeds this multiple of the best round's indicates
     * saturation.
     */
    private static final double SATURATION_RATIO = 2.0;

    private static final double GROWTH_FACTOR = 1.5;

    /**
     * Number of calls that must succeed before the bound first rises. A target that announces
     * itself as warm right after a restart may still be cold, and a single fast answer is not
     * enough evidence.
     */
    private static final int MIN_SUCCESSFUL_CALLS = 8;

    private int coldSlots;
    private boolean cold = true;
    private long incarnation;
    private double bound;
    private int roundCalls;
    private int roundFailures;
    private int successfulCalls;
    private double roundNanos;
    private double bestRoundNanos;

    ColdStartRamp(TargetCapacity capacity) {
        restart(capacity);
    }

    /** Updates the capacity that the target announces. */
    void onCapacity(TargetCapacity capacity) {
        if (capacity.incarnation() != incarnation || (capacity.cold() && !cold)) {
            restart(capacity);
            return;
        }
        cold = capacity.cold();
        coldSlots = Math.max(1, capacity.coldSlots());
    }

    /** Records the end of a call. */
    void onEnded(long serviceTimeNanos, boolean failed) {
        roundCalls++;
        roundNanos += serviceTimeNanos;
        if (failed) {
            roundFailures++;
        } else {
            successfulCalls++;
        }
        if (roundCalls >= Math.ceil(bound)) {
            endRound();
        }
    }

    /**
     * Returns the maximum number of calls in flight.
     *
     * @param slots the number of calls that the target can process concurrently when warm
     */
    int bound(int slots) {
        bound = Math.min(bound, Math.max(1, slots));
        return Math.max(1, (int) Math.min(slots, cold ? coldSlots : Math.floor(bound)));
    }

    private void endRound() {
        double meanNanos = roundNanos / roundCalls;
        boolean first = bestRoundNanos == 0;
        if (roundFailures * 2 > roundCalls) {
            bound = Math.max(coldSlots, bound / 2);
        } else if (!cold
                && successfulCalls >= MIN_SUCCESSFUL_CALLS
                && roundFailures == 0
                && (first || meanNanos <= SATURATION_RATIO * bestRoundNanos)) {
            bound = Math.max(bound + 1, bound * GROWTH_FACTOR);
        }
        if (roundFailures == 0) {
            bestRoundNanos = first ? meanNanos : Math.min(bestRoundNanos * 1.05, meanNanos);
        }
        roundCalls = 0;
        roundFailures = 0;
        roundNanos = 0;
    }

    private void restart(TargetCapacity capacity) {
        coldSlots = Math.max(1, capacity.coldSlots());
        cold = capacity.cold();
        incarnation = capacity.incarnation();
        bound = coldSlots;
        roundCalls = 0;
        roundFailures = 0;
        successfulCalls = 0;
        roundNanos = 0;
        bestRoundNanos = 0;
    }
}
