package org.dogwoodwood.core.membership;

import java.util.ArrayList;
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

    /** The latest leaves that are kept of the targets of one node. */
    private static final int MAX_PER_NODE = 4;

    private record Key(NodeId node, String instance) {}

    private record Known(TargetLeave leave, long learnedNanos) {}

    private final Map<NodeId, Map<String, Known>> leavesByNode = new HashMap<>();
    private final UpdateQueue<Key> queue = new UpdateQueue<>();

    private TargetLeaves() {}

    /** Returns an empty object. */
    public static TargetLeaves create() {
        return new TargetLeaves();
    }

    /**
     * Adds a leave and queues it for dissemination, unless it is known.
     *
     * @return whether it is new
     */
    public boolean add(TargetLeave leave, long nowNanos) {
        removeExpired(nowNanos);
        Map<String, Known> ofNode =
                leavesByNode.computeIfAbsent(leave.node(), any -> new HashMap<>());
        Known known = ofNode.get(leave.instance());
        if (known != null && !leave.supersedes(known.leave)) {
            return false;
        }
        ofNode.put(leave.instance(), new Known(leave, nowNanos));
        if (ofNode.size() > MAX_PER_NODE) {
            ofNode.values().stream()
                    .min(Comparator.comparingLong(Known::learnedNanos))
                    .ifPresent(oldest -> ofNode.remove(oldest.leave.instance()));
        }
        queue.add(new Key(leave.node(), leave.instance()));
        return true;
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
     */
    List<TargetLeave> take(Optional<NodeId> addressee, int budgetBytes, int members) {
        Set<TargetLeave> taken = new LinkedHashSet<>();
        addressee.ifPresent(node -> taken.addAll(of(node)));
        for (Key key : queue.take(budgetBytes, this::bytes, members)) {
            find(key).ifPresent(taken::add);
        }
        return new ArrayList<>(taken);
    }

    private Optional<TargetLeave> find(Key key) {
        return Optional.ofNullable(leavesByNode.getOrDefault(key.node, Map.of()).get(key.instance))
                .map(Known::leave);
    }

    private int bytes(Key key) {
        return find(key).map(TargetLeave::encodedBytes).orElse(0);
    }

    private void removeExpired(long nowNanos) {
        leavesByNode
                .values()
                .forEach(
                        ofNode ->
                                ofNode.values()
                                        .removeIf(
                                                known ->
                                                        nowNanos - known.learnedNanos
                                                                > RETENTION_NANOS));
        leavesByNode.values().removeIf(Map::isEmpty);
    }
}
