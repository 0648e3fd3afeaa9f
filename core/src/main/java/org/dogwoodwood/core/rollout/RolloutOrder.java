package org.dogwoodwood.core.rollout;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;

/**
 * An operator's request to move a service's calls to targets of another version.
 *
 * @param id increases with each order of the service
 * @param service the service
 * @param targetVersion the version that the calls move to
 * @param durationNanos the time from the order to its deadline, in nanoseconds
 */
public record RolloutOrder(long id, String service, String targetVersion, long durationNanos) {

    /** Checks that the references are present and the duration is positive. */
    public RolloutOrder {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(targetVersion, "targetVersion");
        checkArgument(durationNanos > 0, "The duration of a roll-out must be positive.");
    }

    /** Returns whether another order requests the same, apart from its id. */
    public boolean requestsSameAs(RolloutOrder other) {
        return service.equals(other.service)
                && targetVersion.equals(other.targetVersion)
                && durationNanos == other.durationNanos;
    }
}
