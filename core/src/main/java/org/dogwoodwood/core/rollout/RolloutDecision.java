package org.dogwoodwood.core.rollout;

import java.util.Objects;

/**
 * What a decider wants at a moment.
 *
 * @param share the share of the calls that nodes may send to the new version
 * @param progress the progress to store; the decider learns of it by {@link
 *     RolloutDecider#onStored}
 * @param reason the figures behind the state
 */
public record RolloutDecision(double share, RolloutProgress progress, String reason) {

    /** Checks that the references are present. */
    public RolloutDecision {
        Objects.requireNonNull(progress, "progress");
        Objects.requireNonNull(reason, "reason");
    }
}
