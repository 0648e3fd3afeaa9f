package org.dogwoodwood.faults.simulation;

import org.dogwoodwood.core.configuration.AcceptedConfiguration;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.model.NodeId;

/** The content of a log record. */
public sealed interface LogEntry {

    /** A member announces itself. */
    record Announcement(Member member) implements LogEntry {}

    /** A member tells that it starts no more calls. */
    record Leaving(NodeId node, long incarnation) implements LogEntry {}

    /** A node tells that another one is gone. */
    record Removal(NodeId node, long incarnation) implements LogEntry {}

    /** An operator's order. */
    record Order(DataCentreOrder order) implements LogEntry {}

    /** An operator's publication. */
    record Publication(String id, long baseVersion, String document) implements LogEntry {}

    /** A configuration that is written again before it expires. */
    record Renewal(AcceptedConfiguration configuration) implements LogEntry {}
}
