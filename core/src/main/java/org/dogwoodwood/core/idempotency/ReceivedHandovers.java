package org.dogwoodwood.core.idempotency;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;

/** The handovers that a node has received, by sender and by the offset of the sender's view. */
final class ReceivedHandovers {

    private final Map<RegisteredMember, NavigableMap<Long, Set<RegisteredMember>>> bySender =
            new HashMap<>();

    /** Notes a handover with the processes whose runs the sender did not know. */
    void add(RegisteredMember sender, long viewOffset, Set<RegisteredMember> unsettled) {
        bySender.computeIfAbsent(sender, any -> new TreeMap<>())
                .put(viewOffset, Set.copyOf(unsettled));
    }

    /** Returns the offset of the newest handover of a sender, or -1 if there is none. */
    long newestOffset(RegisteredMember sender) {
        NavigableMap<Long, Set<RegisteredMember>> handovers = bySender.get(sender);
        return handovers == null || handovers.isEmpty() ? -1 : handovers.lastKey();
    }

    /** Returns the handovers of a sender from an offset on, newest first. */
    NavigableMap<Long, Set<RegisteredMember>> handoversSince(RegisteredMember sender, long offset) {
        NavigableMap<Long, Set<RegisteredMember>> handovers = bySender.get(sender);
        return handovers == null
                ? new TreeMap<>()
                : handovers.tailMap(offset, true).descendingMap();
    }

    /** Returns whether a sender has handed over under the view with an offset or a newer one. */
    boolean hasHandoverSince(RegisteredMember sender, long offset) {
        return newestOffset(sender) >= offset;
    }

    /**
     * Returns every process that some sender did not know all about and that has not handed over
     * here itself since.
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

    /** Keeps only the handovers of some senders under the views from an offset on. */
    void retain(Collection<RegisteredMember> senders, long fromOffset) {
        bySender.keySet().retainAll(senders);
        bySender.values().forEach(handovers -> handovers.headMap(fromOffset).clear());
    }

    void clear() {
        bySender.clear();
    }
}
