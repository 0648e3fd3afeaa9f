package org.dogwoodwood.core.rollout;

import java.util.Objects;

/**
 * The durable state of a roll-out, from which another decider continues.
 *
 * @param order the order
 * @param state the state
 * @param step the step of the exposure that has been reached
 * @param reservedAttempts the number of attempts at the new version that may have been made
 * @param calls a number of calls that have certainly reached the service since the order
 */
public record RolloutProgress(
        RolloutOrder order, RolloutState state, int step, long reservedAttempts, long calls) {

    /** Checks that the references are present. */
    public RolloutProgress {
        Objects.requireNonNull(order, "order");
        Objects.requireNonNull(state, "state");
    }

    /** Returns the state before the first step of an order. */
    public static RolloutProgress initial(RolloutOrder order) {
        return new RolloutProgress(order, RolloutState.RUNNING, 0, 0, 0);
    }

    /** Returns the same progress in another state. */
    public RolloutProgress withState(RolloutState newState) {
        return new RolloutProgress(order, newState, step, reservedAttempts, calls);
    }
}
