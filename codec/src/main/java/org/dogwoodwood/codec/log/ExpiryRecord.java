package org.dogwoodwood.codec.log;

import java.util.Objects;

/**
 * Another node tells that a member has been dead for a time, although its process may still run.
 *
 * @param node the dead member
 * @param incarnation its incarnation
 * @param reporter the node that tells
 */
public record ExpiryRecord(String node, long incarnation, String reporter) implements LogRecord {

    /** Checks that the references are present. */
    public ExpiryRecord {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(reporter, "reporter");
    }

    @Override
    public String subject() {
        return "node/" + node;
    }
}
