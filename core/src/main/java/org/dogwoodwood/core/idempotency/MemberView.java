package org.dogwoodwood.core.idempotency;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.RendezvousHash;

/**
 * The members of one service that the platform log holds at an offset; equal for all who have read
 * that far.
 *
 * @param offset the offset of the record that changed the members
 * @param incarnations the incarnation of each registered member
 * @param ended processes that this change shows to have ended: they left by their own record or
 *     were followed by a new incarnation
 */
public record MemberView(long offset, Map<NodeId, Long> incarnations, Set<RegisteredMember> ended) {

    /**
     * The smallest number of members whose majority can vouch for one of them. With two, the loss
     * of either would leave the keys of the other in doubt for good.
     */
    public static final int MIN_VOTERS = 3;

    /** One process that the log holds as a member. */
    public record RegisteredMember(NodeId node, long incarnation) {}

    /** Copies the collections. */
    public MemberView {
        checkArgument(offset >= 0, "An offset must not be negative.");
        incarnations = Map.copyOf(incarnations);
        ended = Set.copyOf(ended);
    }

    /** Returns the member that owns a key, or empty if there are no members. */
    public Optional<RegisteredMember> ownerOf(String service, String key) {
        return RendezvousHash.first(service + '\n' + key, incarnations.keySet())
                .map(node -> new RegisteredMember(node, incarnations.get(node)));
    }

    /** Returns whether a process is registered. */
    public boolean contains(RegisteredMember member) {
        Long incarnation = incarnations.get(member.node());
        return incarnation != null && incarnation == member.incarnation();
    }

    /** Returns whether a majority of the members can vouch for an owner. */
    public boolean hasEnoughVoters() {
        return incarnations.size() >= MIN_VOTERS;
    }

    /** Returns how many members make a majority. */
    public int majority() {
        return incarnations.size() / 2 + 1;
    }
}
