package org.dogwoodwood.codec.log;

import java.util.Objects;

/**
 * Announces that a node is leaving and starts no more calls.
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
