package org.dogwoodwood.core.rollout;

import java.util.Objects;

/**
 * Attempts of one version on one route.
 *
 * @param sent the attempts sent, including those without a result yet
 * @param ended the attempts that ended with an answer or without one, except cancelled and refused
 *     ones
 * @param failures the answers that report a failure of the target
 * @param disturbed the attempts that ended without an answer, or whose target reported that it is
 *     slowed down
 * @param latencies the latencies of undisturbed answers of warm targets
 */
public record VersionCounts(
        long sent, long ended, long failures, long disturbed, LatencyClasses latencies) {

    private static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0, LatencyClasses.empty());

    /** Checks that the latencies are present. */
    public VersionCounts {
        Objects.requireNonNull(latencies, "latencies");
    }

    /** Returns counts of zero. */
    public static VersionCounts none() {
        return NONE;
    }

    /** Returns the sum of these counts and others. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                sent + other.sent,
                ended + other.ended,
                failures + other.failures,
                disturbed + other.disturbed,
                latencies.plus(other.latencies));
    }

    /** Returns these counts without others that they include. */
    public VersionCounts minus(VersionCounts other) {
        return new VersionCounts(
                sent - other.sent,
                ended - other.ended,
                failures - other.failures,
                disturbed - other.disturbed,
                latencies.minus(other.latencies));
    }
}
