package org.dogwoodwood.core.model;

import java.util.Collection;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

/**
 * Highest-random-weight hashing (Thaler and Ravishankar 1998): all nodes with the same members rank
 * them in the same order for a key, and a member that joins or leaves affects only the keys
 * assigned to it.
 */
public final class RendezvousHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /**
     * Returns the member that ranks first for a key, or empty if there are no members.
     *
     * @param key the key to assign, not null
     * @param members the members in any order, not null
     */
    public static Optional<NodeId> first(String key, Collection<NodeId> members) {
        Objects.requireNonNull(key, "key");
        return members.stream()
                .max(
                        Comparator.<NodeId>comparingLong(node -> score(key, node))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static long score(String key, NodeId node) {
        long hash = append(FNV_OFFSET, key);
        hash = (hash ^ 0xff) * FNV_PRIME;
        return mix(append(hash, node.value()));
    }

    private static long append(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * The finalizer of SplitMix64 (Steele et al. 2014); FNV alone ranks similar names similarly.
     */
    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
