package org.dogwoodwood.codec.log;

import java.util.List;
import java.util.Objects;
import org.dogwoodwood.core.membership.TargetLeave;
import org.dogwoodwood.core.model.NodeId;

/**
 * The latest leaves of the targets of one node, which its next process reads.
 *
 * @param node the node
 * @param leaves the leaves
 */
public record TargetLeavesRecord(String node, List<Leave> leaves) implements LogRecord {

    /**
     * A leave; see {@link TargetLeave}.
     *
     * @param instance the name of the target's process
     * @param startedAtMillis the start of that process, in milliseconds of its wall clock
     * @param sequence the last heartbeat before the leave
     */
    public record Leave(String instance, long startedAtMillis, long sequence) {

        /** Checks that the instance is present. */
        public Leave {
            Objects.requireNonNull(instance, "instance");
        }
    }

    /** Checks that the references are present and copies the list. */
    public TargetLeavesRecord {
        Objects.requireNonNull(node, "node");
        leaves = List.copyOf(leaves);
    }

    /** Returns the record of a node. */
    public static TargetLeavesRecord of(NodeId node, List<TargetLeave> leaves) {
        return new TargetLeavesRecord(
                node.value(), leaves.stream().map(TargetLeavesRecord::toEntry).toList());
    }

    /** Returns the leaves of this record. */
    public List<TargetLeave> toLeaves() {
        return leaves.stream()
                .map(
                        entry ->
                                new TargetLeave(
                                        NodeId.of(node),
                                        entry.instance(),
                                        entry.startedAtMillis(),
                                        entry.sequence()))
                .toList();
    }

    @Override
    public String subject() {
        return "target/" + node;
    }

    private static Leave toEntry(TargetLeave leave) {
        return new Leave(leave.instance(), leave.startedAtMillis(), leave.sequence());
    }
}
