package org.dogwoodwood.codec.log;

import java.util.Objects;

/**
 * A node tells that it starts no more calls and is leaving.
 *
 * @param node the node
 * @param incarnation the node's incarnation
 */
public record LeaveRecord(String node, long incarnation) implements LogRecord {

    /** Checks that the node is present. */
    public LeaveRecord {
        Objects.requireNonNull(node, "node");
    }

    @Override
    public String subject() {
        return "node/" + node;
    }
}
