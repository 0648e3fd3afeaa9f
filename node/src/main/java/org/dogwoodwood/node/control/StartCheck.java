package org.dogwoodwood.node.control;

import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MembershipTable;

/**
 * Decides whether a node that starts may use the configuration that it has read from the operators'
 * source. The source may have come back from an older copy, in which a key is valid that has been
 * revoked since, so the node first asks a peer for a later version. Used on the control thread.
 */
final class StartCheck {

    // Peers that are known but cannot be reached must not keep a node from starting. Two rounds of
    // gossip reach a peer within this time.
    private static final long MAX_WAIT_NANOS = 1_000_000_000L;

    private final MembershipTable table;
    private final Runnable askPeers;
    private boolean waiting;
    private long waitingSinceNanos;

    /**
     * Creates a check.
     *
     * @param table the members, not null
     * @param askPeers runs once, to ask peers for a later version
     */
    StartCheck(MembershipTable table, Runnable askPeers) {
        this.table = table;
        this.askPeers = askPeers;
    }

    /**
     * Returns whether no peer is left to be asked; to be called when source and members have been
     * read. Has no effect on a node that a ready peer has already confirmed.
     */
    boolean isComplete(long nowNanos) {
        if (!waiting) {
            waiting = true;
            waitingSinceNanos = nowNanos;
            askPeers.run();
        }
        return nowNanos - waitingSinceNanos >= MAX_WAIT_NANOS
                || table.members().stream().noneMatch(this::mayKnowMore);
    }

    private boolean mayKnowMore(Member member) {
        return !member.node().equals(table.self().node()) && member.liveness() != Liveness.DEAD;
    }
}
