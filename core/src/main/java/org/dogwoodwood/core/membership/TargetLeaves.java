package org.dogwoodwood.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.model.NodeId;

/**
 * The leaves of targets that a node knows, and which of them are still to be spread. Not
 * thread-safe.
 *
 * <p>A node that has started again has lost what it knew, so each message to it carries the leaves
 * of its own targets.
 */
public final class TargetLeaves {

    /** How long a leave is kept, in nanoseconds: much longer than a heartbeat may be held up. */
    private static final long RETENTION_NANOS = 600_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The latest leaves that are kept of the targets of one node. */
    private static final int MAX_PER_NODE = 4;

    private record Key(NodeId node, String instance) {}

    /** A leave and when it was recorded, on the monotonic clock, in nanoseconds. */
    private record Known(TargetLeave leave, long recordedNanos) {

        // The same at all nodes, so that they keep the same leaves.
        static final Comparator<Known> BY_START =
                Comparator.<Known>comparingLong(known -> known.leave.startedAtMillis())
                        .thenComparing(known -> known.leave.instance());

        KnownLeave at(long nowNanos) {
            return new KnownLeave(leave, Math.max(0, (nowNanos - recordedNanos) / NANOS_PER_MILLI));
        }
    }

    private final Map<NodeId, Map<String, Known>> leavesByNode = new HashMap<>();
    private final UpdateQueue<Key> queue = new UpdateQueue<>();

    private TargetLeaves() {}

    /** Returns an empty object. */
    public static TargetLeaves create() {
        return new TargetLeaves();
    }

    /** Adds a leave that is recorded now, and queues it for dissemination unless it is known. */
    public void add(TargetLeave leave, long nowNanos) {
        add(new KnownLeave(leave, 0), nowNanos);
    }

    /**
     * Adds a leave and queues it for dissemination, unless it is known or too old.
     *
     * @return whether it is new
     */
    boolean add(KnownLeave received, long nowNanos) {
        removeExpired(nowNanos);
        TargetLeave leave = received.leave();
        Known next = new Known(leave, nowNanos - received.ageMillis() * NANOS_PER_MILLI);
        Map<String, Known> ofNode = leavesByNode.getOrDefault(leave.node(), Map.of());
        Known known = ofNode.get(leave.instance());
        if (isExpired(next, nowNanos) || (known != null && !leave.supersedes(known.leave))) {
            return false;
        }
        leavesByNode
                .computeIfAbsent(leave.node(), any -> new HashMap<>())
                .put(leave.instance(), next);
        if (!removeEarliest(leave.node()).equals(Optional.of(next))) {
            queue.add(new Key(leave.node(), leave.instance()));
            return true;
        }
        return false;
    }

    /** Removes the leave of the earliest process if there are too many, and returns it. */
    private Optional<Known> removeEarliest(NodeId node) {
        Map<String, Known> ofNode = leavesByNode.get(node);
        if (ofNode.size() <= MAX_PER_NODE) {
            return Optional.empty();
        }
        Optional<Known> earliest = ofNode.values().stream().min(Known.BY_START);
        earliest.ifPresent(known -> ofNode.remove(known.leave.instance()));
        return earliest;
    }

    /** Returns the latest leaves of the targets of a node. */
    public List<TargetLeave> of(NodeId node) {
        return leavesByNode.getOrDefault(node, Map.of()).values().stream()
                .map(Known::leave)
                .toList();
    }

    /** Returns whether leaves are still to be spread. */
    boolean isSpreading() {
        return queue.size() > 0;
    }

    /**
     * Returns the leaves for the next message: those of the addressee's own targets, and others
     * that are to be spread.
     *
     * @param addressee the receiver, or empty if it is unknown
     * @param budgetBytes the largest size of the others, in bytes
     * @param members the number of members
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    List<KnownLeave> take(Optional<NodeId> addressee, int budgetBytes, int members, long nowNanos) {
        removeExpired(nowNanos);
        Set<Known> taken = new LinkedHashSet<>();
        addressee.ifPresent(
                node -> taken.addAll(leavesByNode.getOrDefault(node, Map.of()).values()));
        for (Key key : queue.take(budgetBytes, this::bytes, members)) {
            find(key).ifPresent(taken::add);
        }
        return taken.stream().map(known -> known.at(nowNanos)).toList();
    }

    private Optional<Known> find(Key key) {
        return Optional.ofNullable(leavesByNode.getOrDefault(key.node, Map.of()).get(key.instance));
    }

    private int bytes(Key key) {
        return find(key).map(known -> known.leave.encodedBytes()).orElse(0);
    }

    private static boolean isExpired(Known known, long nowNanos) {
        return nowNanos - known.recordedNanos >= RETENTION_NANOS;
    }

    private void removeExpired(long nowNanos) {
        leavesByNode
                .values()
                .forEach(ofNode -> ofNode.values().removeIf(known -> isExpired(known, nowNanos)));
        leavesByNode.values().removeIf(Map::isEmpty);
    }
}
