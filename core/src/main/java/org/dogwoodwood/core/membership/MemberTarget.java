package org.dogwoodwood.core.membership;

import java.util.Objects;
import org.dogwoodwood.core.model.TargetState;

/**
 * The target beside a node, as declared by the node.
 *
 * @param service the service; empty before a target has announced itself
 * @param slots the number of calls that the target can process concurrently
 * @param connections the number of connections that the target accepts
 * @param state the state of the target
 */
public record MemberTarget(String service, int slots, int connections, TargetState state) {

    private static final MemberTarget NONE = new MemberTarget("", 0, 0, TargetState.DOWN);

    /** Checks that the references are present. */
    public MemberTarget {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
    }

    /** Returns the value for a node whose target has not announced itself. */
    public static MemberTarget none() {
        return NONE;
    }

    /** Returns whether a target has announced itself. */
    public boolean isPresent() {
        return !service.isEmpty();
    }

    /** Returns the same target in the given state. */
    public MemberTarget withState(TargetState newState) {
        return new MemberTarget(service, slots, connections, newState);
    }
}
