package org.dogwoodwood.faults.simulation;

import org.dogwoodwood.core.configuration.AcceptedConfiguration;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.model.NodeId;

/** The content of a log record. */
public sealed interface LogEntry {

    /** A member registers itself. */
    record Announcement(Member member) implements LogEntry {}

    /** A member starts no more calls. */
    record Leaving(NodeId node, long incarnation) implements LogEntry {}

    /** A node reports another node as dead, or withdraws its own registration. */
    record Removal(NodeId node, long incarnation) implements LogEntry {}

    /** An operator's order for a data centre. */
    record Order(DataCentreOrder order) implements LogEntry {}

    /** An operator's publication of a configuration. */
    record Publication(String id, long baseVersion, String document) implements LogEntry {}

    /** A copy of the accepted configuration, appended before the original record expires. */
    record Renewal(AcceptedConfiguration configuration) implements LogEntry {}
}
