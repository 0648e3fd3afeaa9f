package org.dogwoodwood.core.model;

import static org.dogwoodwood.core.Preconditions.checkArgument;

/**
 * The name of a node, unique per VM.
 *
 * @param value the name, not blank
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /** Checks that the name is not blank. */
    public NodeId {
        checkArgument(value != null && !value.isBlank(), "A node id must not be blank.");
    }

    /** Returns the node id with the given name. */
    public static NodeId of(String value) {
        return new NodeId(value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
