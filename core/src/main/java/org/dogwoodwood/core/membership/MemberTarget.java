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
 * @param stateVersion increases with each change of the state within one incarnation of the node;
 *     load reports carry it too, so that the newer statement about the state can be told
 */
public record MemberTarget(
        String service, int slots, int connections, TargetState state, int stateVersion) {

    private static final MemberTarget NONE = new MemberTarget("", 0, 0, TargetState.DOWN);

    /** Checks that the references are present. */
    public MemberTarget {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
    }

    /** Creates a target whose state has not changed yet. */
    public MemberTarget(String service, int slots, int connections, TargetState state) {
        this(service, slots, connections, state, 0);
    }

    /** Returns the value for a node whose target has not announced itself. */
    public static MemberTarget none() {
        return NONE;
    }

    /** Returns whether a target has announced itself. */
    public boolean isPresent() {
        return !service.isEmpty();
    }

    /** Returns the same target in the given state, as its next change. */
    public MemberTarget withState(TargetState newState) {
        return new MemberTarget(service, slots, connections, newState, stateVersion + 1);
    }
}
