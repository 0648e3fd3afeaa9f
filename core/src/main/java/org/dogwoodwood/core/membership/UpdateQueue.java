package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * A queue of the keys of recent updates, least often sent first, then newest first. An update is
 * removed after a number of sends that grows with the logarithm of the number of members. Not
 * thread-safe.
 *
 * @param <K> the key of an update; a new update with the same key replaces the old one
 */
final class UpdateQueue<K> {

    private static final int SENDS_PER_DOUBLING = 3;
    private static final int MIN_SENDS = 6;

    private final Map<K, PendingUpdate<K>> byKey = new HashMap<>();
    private final TreeSet<PendingUpdate<K>> order =
            new TreeSet<>(
                    Comparator.<PendingUpdate<K>>comparingInt(pending -> pending.sends)
                            .thenComparing(pending -> -pending.sequence));
    private long sequence;

    /** Adds an update, or resets the send count of a changed one. */
    void add(K key) {
        remove(key);
        PendingUpdate<K> pending = new PendingUpdate<>(key, 0, sequence++);
        byKey.put(key, pending);
        order.add(pending);
    }

    void remove(K key) {
        PendingUpdate<K> pending = byKey.remove(key);
        if (pending != null) {
            order.remove(pending);
        }
    }

    /**
     * Returns the next keys whose updates fit into a number of bytes, and counts them as sent.
     *
     * @param budgetBytes the maximum total size of the updates, in bytes
     * @param sizeOf the encoded size of an update, or 0 for one that no longer exists
     * @param members the number of members, which determines how often an update is sent
     */
    List<K> take(int budgetBytes, ToIntFunction<K> sizeOf, int members) {
        List<K> taken = new ArrayList<>();
        List<PendingUpdate<K>> sent = new ArrayList<>();
        int remaining = budgetBytes;
        Iterator<PendingUpdate<K>> iterator = order.iterator();
        while (iterator.hasNext()) {
            PendingUpdate<K> pending = iterator.next();
            int size = sizeOf.applyAsInt(pending.key);
            if (size == 0) {
                iterator.remove();
                byKey.remove(pending.key);
                continue;
            }
            if (size > remaining) {
                break;
            }
            remaining -= size;
            taken.add(pending.key);
            sent.add(pending);
        }
        int limit = sendLimit(members);
        sent.forEach(pending -> countSent(pending, limit));
        return taken;
    }

    /** Returns the number of queued updates. */
    int size() {
        return byKey.size();
    }

    /** Returns how often an update is sent, given the number of members. */
    static int sendLimit(int members) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members));
        return MIN_SENDS + SENDS_PER_DOUBLING * doublings;
    }

    private void countSent(PendingUpdate<K> pending, int limit) {
        remove(pending.key);
        if (pending.sends + 1 < limit) {
            PendingUpdate<K> requeued =
                    new PendingUpdate<>(pending.key, pending.sends + 1, pending.sequence);
            byKey.put(requeued.key, requeued);
            order.add(requeued);
        }
    }

    private static final class PendingUpdate<K> {
        private final K key;
        private final int sends;
        private final long sequence;

        private PendingUpdate(K key, int sends, long sequence) {
            this.key = key;
            this.sends = sends;
            this.sequence = sequence;
        }
    }
}
