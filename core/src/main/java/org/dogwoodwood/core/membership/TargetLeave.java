package org.dogwoodwood.core.membership;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * The acknowledged leave of a target. It outlives the process of the node that acknowledged it, so
 * that a heartbeat from before the leave doesn't bring the target back.
 *
 * @param node the node beside the target
 * @param instance the name of the target's process
 * @param startedAtMillis the start of that process, in milliseconds of its wall clock; earlier
 *     processes of the same name have left, too
 * @param sequence the last heartbeat before the leave, or {@link #ALL_HEARTBEATS}
 */
public record TargetLeave(NodeId node, String instance, long startedAtMillis, long sequence) {

    /** The sequence of a leave after which the process sends no more heartbeats. */
    public static final long ALL_HEARTBEATS = Long.MAX_VALUE;

    // Three numbers, with the age, and the MessagePack headers of an encoded leave.
    private static final int FIXED_BYTES = 34;

    /** Checks that the references are present. */
    public TargetLeave {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(instance, "instance");
    }

    /** Returns whether a process of this name that started then, or its heartbeat, is covered. */
    public boolean covers(long processStartMillis, long heartbeatSequence) {
        if (processStartMillis != startedAtMillis) {
            return processStartMillis < startedAtMillis;
        }
        return heartbeatSequence <= sequence;
    }

    /** Returns whether this leave covers more than another one of the same instance. */
    boolean supersedes(TargetLeave other) {
        return !other.covers(startedAtMillis, sequence);
    }

    /** Returns an upper bound of the encoded size, in bytes, for names in ASCII. */
    int encodedBytes() {
        return FIXED_BYTES + node.value().length() + instance.length();
    }
}
