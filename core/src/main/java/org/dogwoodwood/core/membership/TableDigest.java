package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Hashes of one part of a membership table, with which two nodes find entries that differ.
 *
 * <p>The hash space is divided into 2^bits groups of 16 leaves each. One digest covers one group,
 * so its size does not depend on the number of members; successive digests cover groups at random.
 * Dead and leaving members are excluded, as nodes remove them at different times.
 *
 * @param bits the binary logarithm of the number of groups, from 0 to 40
 * @param group the index of the group, from 0
 * @param leaves the hashes of its leaves
 */
public record TableDigest(int bits, long group, List<Integer> leaves) {

    static final int LEAVES = 16;
    static final int MAX_BITS = 40;

    private static final int LEAF_BITS = 4;
    private static final int MEMBERS_PER_GROUP = 256;

    /** Copies the leaves. */
    public TableDigest {
        leaves = List.copyOf(leaves);
    }

    /** Returns the digest of a random group. */
    static TableDigest random(MembershipTable table, RandomGenerator random) {
        int groups = Math.max(1, table.size() / MEMBERS_PER_GROUP);
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(groups - 1);
        return of(table, bits, random.nextLong(1L << bits));
    }

    /** Returns the digest of a group. */
    static TableDigest of(MembershipTable table, int bits, long group) {
        List<Integer> leaves = new ArrayList<>(LEAVES);
        for (int leaf = 0; leaf < LEAVES; leaf++) {
            long hash = 0;
            for (Member member : membersOf(table, bits, group, leaf)) {
                if (member.isPresent()) {
                    hash += member.stateHash();
                }
            }
            leaves.add((int) (hash ^ (hash >>> Integer.SIZE)));
        }
        return new TableDigest(bits, group, leaves);
    }

    /**
     * Returns the members of the table that are neither dead nor leaving and lie in a leaf whose
     * hash differs from this digest. Returns none if the digest is malformed.
     */
    List<Member> differingMembers(MembershipTable table) {
        if (bits < 0 || bits > MAX_BITS || leaves.size() != LEAVES || group >>> bits != 0) {
            return List.of();
        }
        TableDigest own = of(table, bits, group);
        List<Member> found = new ArrayList<>();
        for (int leaf = 0; leaf < LEAVES; leaf++) {
            if (!own.leaves.get(leaf).equals(leaves.get(leaf))) {
                found.addAll(membersOf(table, bits, group, leaf));
            }
        }
        found.removeIf(member -> !member.isPresent());
        return found;
    }

    private static List<Member> membersOf(MembershipTable table, int bits, long group, int leaf) {
        int shift = Long.SIZE - bits - LEAF_BITS;
        long from = ((group << LEAF_BITS) | leaf) << shift;
        long to = from | ((1L << shift) - 1);
        return table.membersInHashRange(from, to);
    }
}
