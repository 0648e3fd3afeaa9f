package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.dogwoodwood.core.model.NodeId;

/**
 * Recent updates about members of the own data centre, for messages to other data centres. Not
 * thread-safe.
 *
 * <p>Each node of the data centre sends an update at most twice and for a few rounds, since many
 * nodes hold the same update. Digests repair what is lost.
 */
final class RemoteUpdates {

    private static final int MAX_SENDS = 2;
    // With three contacts of other data centres in each round, an update is offered some 24 times.
    private static final int MAX_ROUNDS = 4;

    private final Map<NodeId, Pending> pending = new LinkedHashMap<>();

    private RemoteUpdates() {}

    static RemoteUpdates create() {
        return new RemoteUpdates();
    }

    /** Adds an update, or replaces an earlier one of the same member. */
    void add(NodeId node, long round) {
        pending.remove(node);
        pending.put(node, new Pending(round, 0));
    }

    /** Returns the updates, oldest first, that fit into a number of bytes, and counts them. */
    List<NodeId> take(int budgetBytes, ToIntFunction<NodeId> sizeOf, long round) {
        List<NodeId> taken = new ArrayList<>();
        int remaining = budgetBytes;
        Iterator<Map.Entry<NodeId, Pending>> entries = pending.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<NodeId, Pending> entry = entries.next();
            int bytes = sizeOf.applyAsInt(entry.getKey());
            Pending update = entry.getValue();
            if (bytes == 0 || round - update.round > MAX_ROUNDS) {
                entries.remove();
            } else if (bytes <= remaining) {
                remaining -= bytes;
                taken.add(entry.getKey());
                if (update.sends + 1 < MAX_SENDS) {
                    entry.setValue(new Pending(update.round, update.sends + 1));
                } else {
                    entries.remove();
                }
            }
        }
        return taken;
    }

    private record Pending(long round, int sends) {}
}
