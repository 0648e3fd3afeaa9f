package org.dogwoodwood.codec.log;

import java.util.Objects;

/**
 * Reports that a member has been considered dead for some time; its process may still be running.
 *
 * @param node the dead member
 * @param incarnation the incarnation of the dead member
 * @param reporter the node that reports the expiry
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
