package org.dogwoodwood.core.idempotency;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.dogwoodwood.core.OrderedCopies;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;

/** The handovers that a node has received, by sender and offset of the sender's view. */
final class ReceivedHandovers {

    private final Map<RegisteredMember, NavigableMap<Long, Set<RegisteredMember>>> bySender =
            new HashMap<>();

    /** Records a handover with the processes that may have run calls unknown to the sender. */
    void add(RegisteredMember sender, long viewOffset, Set<RegisteredMember> unsettled) {
        bySender.computeIfAbsent(sender, any -> new TreeMap<>())
                .put(viewOffset, OrderedCopies.copyOf(unsettled));
    }

    /** Returns the offset of the newest handover of a sender, or -1 if there is none. */
    long newestOffset(RegisteredMember sender) {
        NavigableMap<Long, Set<RegisteredMember>> handovers = bySender.get(sender);
        return handovers == null || handovers.isEmpty() ? -1 : handovers.lastKey();
    }

    /** Returns the handovers of a sender at or after an offset, newest first. */
    NavigableMap<Long, Set<RegisteredMember>> handoversSince(RegisteredMember sender, long offset) {
        NavigableMap<Long, Set<RegisteredMember>> handovers = bySender.get(sender);
        return handovers == null
                ? new TreeMap<>()
                : handovers.tailMap(offset, true).descendingMap();
    }

    /** Returns whether a sender has handed over under a view at or after an offset. */
    boolean hasHandoverSince(RegisteredMember sender, long offset) {
        return newestOffset(sender) >= offset;
    }

    /**
     * Returns every process that some sender listed as unsettled and that has not handed over to
     * this node itself since.
     */
    Set<RegisteredMember> unsettled() {
        Set<RegisteredMember> all = new HashSet<>();
        bySender.values()
                .forEach(
                        handovers ->
                                handovers.forEach(
                                        (offset, unsettled) ->
                                                unsettled.stream()
                                                        .filter(
                                                                process ->
                                                                        !hasHandoverSince(
                                                                                process, offset))
                                                        .forEach(all::add)));
        return all;
    }

    /** Retains only the handovers of the given senders under views at or after an offset. */
    void retain(Collection<RegisteredMember> senders, long fromOffset) {
        bySender.keySet().retainAll(senders);
        bySender.values().forEach(handovers -> handovers.headMap(fromOffset).clear());
    }

    void clear() {
        bySender.clear();
    }
}
