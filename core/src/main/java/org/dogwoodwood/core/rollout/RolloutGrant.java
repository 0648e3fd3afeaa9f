package org.dogwoodwood.core.rollout;

import java.util.Objects;

/**
 * What a node may send to the versions of a service.
 *
 * @param orderId the order
 * @param targetVersion the new version
 * @param state the state of the roll-out
 * @param share the share of the attempts that may go to the new version while it runs
 * @param expiryNanos when the share of a running roll-out becomes 0, on the node's clock
 */
public record RolloutGrant(
        long orderId, String targetVersion, RolloutState state, double share, long expiryNanos) {

    /** Checks that the references are present. */
    public RolloutGrant {
        Objects.requireNonNull(targetVersion, "targetVersion");
        Objects.requireNonNull(state, "state");
    }

    /** Returns whether this grant replaces another one of the same service. */
    public boolean supersedes(RolloutGrant other) {
        if (orderId != other.orderId) {
            return orderId > other.orderId;
        }
        return !other.state.isFinal();
    }

    /**
     * Returns whether an attempt goes to the new version.
     *
     * @param nowNanos the current time on the node's clock, in nanoseconds
     * @param draw a random number from 0 to 1, exclusive
     */
    public boolean selectsNewVersion(long nowNanos, double draw) {
        double running = nowNanos - expiryNanos < 0 ? share : 0;
        return draw < state.share(running);
    }

    /** Returns whether a target of the given version may get an attempt for which was drawn. */
    public boolean admits(String version, boolean newVersion) {
        return version.equals(targetVersion) == newVersion;
    }
}
