package org.dogwoodwood.core.rollout;

import java.util.Objects;

/**
 * Attempts of the old and the new version on one route.
 *
 * @param current the attempts at the old version
 * @param next the attempts at the new version
 */
public record RouteEvidence(VersionCounts current, VersionCounts next) {

    private static final RouteEvidence NONE =
            new RouteEvidence(VersionCounts.none(), VersionCounts.none());

    /** Checks that the counts are present. */
    public RouteEvidence {
        Objects.requireNonNull(current, "current");
        Objects.requireNonNull(next, "next");
    }

    /** Returns evidence without attempts. */
    public static RouteEvidence none() {
        return NONE;
    }

    /** Returns the sum of this evidence and other evidence. */
    public RouteEvidence plus(RouteEvidence other) {
        return new RouteEvidence(current.plus(other.current), next.plus(other.next));
    }

    /** Returns this evidence without other evidence that it includes. */
    public RouteEvidence minus(RouteEvidence other) {
        return new RouteEvidence(current.minus(other.current), next.minus(other.next));
    }
}
