package org.dogwoodwood.core.membership;

/** How many members a gossip round contacts. */
public enum GossipRound {
    /** Something is new, or this node lacks acknowledgements of its lease. */
    FULL(2, 1),
    /** Nothing is new; enough to renew the lease and to detect members that have ended. */
    QUIET(1, 1),
    /** Nothing is new, and the last quiet round was recent. */
    SKIPPED(0, 0);

    private final int localPeers;
    private final int remotePeers;

    GossipRound(int localPeers, int remotePeers) {
        this.localPeers = localPeers;
        this.remotePeers = remotePeers;
    }

    /** Returns how many members of the same data centre to contact. */
    int localPeers() {
        return localPeers;
    }

    /** Returns how many members of other data centres to contact. */
    int remotePeers() {
        return remotePeers;
    }
}
