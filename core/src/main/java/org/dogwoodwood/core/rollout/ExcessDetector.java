package org.dogwoodwood.core.rollout;

/**
 * A cumulative sum of the bad answers beyond an allowed share. It notices a change at any time,
 * however long the good history before it. Not thread-safe.
 */
final class ExcessDetector {

    // A version that fails 1.5 times as often as the old one at the same moment is within what
    // chance and an uneven burst cause.
    private static final double ALLOWED_FACTOR = 1.5;

    private final double allowedShare;
    private final double limit;
    private double excess;

    /**
     * Creates a detector.
     *
     * @param allowedShare the allowed difference to the old version's share of bad answers
     * @param limit the excess, in answers, that the detector reports
     */
    ExcessDetector(double allowedShare, double limit) {
        this.allowedShare = allowedShare;
        this.limit = limit;
    }

    /** Adds answers of the new version, given the old version's share of bad ones. */
    void add(long answers, long bad, double oldShare) {
        double allowed = Math.min(1, ALLOWED_FACTOR * oldShare + allowedShare);
        excess = Math.max(0, excess + bad - answers * allowed);
    }

    boolean isExceeded() {
        return excess >= limit;
    }

    double excess() {
        return excess;
    }
}
