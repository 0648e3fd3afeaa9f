package org.dogwoodwood.core.idempotency;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * One record of the log stream {@code membership}, reduced to its effect on the members.
 *
 * @param offset the offset in the stream
 * @param timestampMillis the time when the log stored the record, by the log's clock, in
 *     milliseconds
 * @param kind the kind of record
 * @param node the member that the record concerns; ignored for {@link Kind#OTHER}
 * @param incarnation the incarnation of the member
 * @param service the service of the member
 */
public record MembershipRecord(
        long offset,
        long timestampMillis,
        Kind kind,
        NodeId node,
        long incarnation,
        String service) {

    /** The kinds of record. */
    public enum Kind {
        /** The member registers or renews its registration. */
        ANNOUNCED,
        /** The member itself announces that it is leaving and starts no more calls. */
        LEFT,
        /** Another node removes the member, whose process may still be running. */
        REMOVED,
        /** Any other record; it only advances the log's clock. */
        OTHER
    }

    /** Checks that the references are present. */
    public MembershipRecord {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(service, "service");
    }
}
