package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.model.NodeId;

/**
 * A small subset of the members, with which one node exchanges gossip in turn. Not thread-safe.
 *
 * <p>A partial view bounds the number of connections of a node independently of the number of
 * members. From time to time a random member is replaced, so that every member is monitored
 * (HyParView, Leitão et al. 2007).
 */
final class PartialView {

    private final int size;
    private final List<NodeId> view = new ArrayList<>();
    private int next;

    PartialView(int size) {
        this.size = size;
    }

    /** Removes members that are no longer eligible and fills the view from the candidates. */
    void refresh(List<NodeId> candidates, Predicate<NodeId> eligible, RandomGenerator random) {
        view.removeIf(eligible.negate());
        if (view.size() >= Math.min(size, candidates.size())) {
            return;
        }
        Set<NodeId> present = new HashSet<>(view);
        if (candidates.size() <= size) {
            candidates.stream().filter(present::add).forEach(this::insertNext);
            return;
        }
        while (view.size() < size) {
            NodeId candidate = candidates.get(random.nextInt(candidates.size()));
            if (present.add(candidate)) {
                insertNext(candidate);
            }
        }
    }

    /** Removes a random member of a full view, so that the next refresh replaces it. */
    void removeRandom(RandomGenerator random) {
        if (view.size() == size) {
            view.remove(random.nextInt(size));
        }
    }

    /** Returns the next members in round-robin order, at most the size of the view. */
    List<NodeId> next(int count) {
        List<NodeId> chosen = new ArrayList<>();
        for (int i = 0; i < Math.min(count, view.size()); i++) {
            next = (next + 1) % view.size();
            chosen.add(view.get(next));
        }
        return chosen;
    }

    // New members are contacted next.
    private void insertNext(NodeId node) {
        view.add(Math.min(view.size(), next + 1), node);
    }
}
