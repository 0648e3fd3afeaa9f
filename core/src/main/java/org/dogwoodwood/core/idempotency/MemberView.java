package org.dogwoodwood.core.idempotency;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.dogwoodwood.core.OrderedCopies;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.RendezvousHash;

/**
 * The registered members of one service at an offset of the platform log. All readers agree on it
 * at the same offset.
 *
 * @param offset the offset of the record that changed the members
 * @param incarnations the incarnation of each registered member
 * @param ended processes that have ended according to this change: they announced that they leave,
 *     or were replaced by a new incarnation
 */
public record MemberView(long offset, Map<NodeId, Long> incarnations, Set<RegisteredMember> ended) {

    /**
     * The minimum number of members whose majority can confirm an owner. With two, the loss of
     * either would leave the keys of the other in doubt permanently.
     */
    public static final int MIN_VOTERS = 3;

    /** A process that is registered as a member in the log. */
    public record RegisteredMember(NodeId node, long incarnation) {}

    /** Copies the collections. */
    public MemberView {
        checkArgument(offset >= 0, "An offset must not be negative.");
        incarnations = OrderedCopies.copyOf(incarnations);
        ended = OrderedCopies.copyOf(ended);
    }

    /** Returns the member that owns a key, or empty if there are no members. */
    public Optional<RegisteredMember> ownerOf(String service, String key) {
        return RendezvousHash.first(service + '\n' + key, incarnations.keySet())
                .map(node -> new RegisteredMember(node, incarnations.get(node)));
    }

    /** Returns the registered processes, ordered by node id. */
    Stream<RegisteredMember> members() {
        return incarnations.entrySet().stream()
                .map(entry -> new RegisteredMember(entry.getKey(), entry.getValue()))
                .sorted(Comparator.comparing(RegisteredMember::node));
    }

    /** Returns whether a process is registered. */
    public boolean contains(RegisteredMember member) {
        Long incarnation = incarnations.get(member.node());
        return incarnation != null && incarnation == member.incarnation();
    }

    /** Returns whether there are enough members for a majority to confirm an owner. */
    public boolean hasEnoughVoters() {
        return incarnations.size() >= MIN_VOTERS;
    }

    /** Returns the number of members that form a majority. */
    public int majority() {
        return incarnations.size() / 2 + 1;
    }
}
