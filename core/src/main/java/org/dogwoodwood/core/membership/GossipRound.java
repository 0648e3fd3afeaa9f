package org.dogwoodwood.core.membership;

/** How many members a gossip round contacts. */
public enum GossipRound {
    /** Something urgent is new, or this node lacks acknowledgements of its lease. */
    FULL(2, 1, false),
    /** Something is new that may take some rounds to reach other data centres. */
    NEWS(2, 1, true),
    /** Nothing is new; enough to renew the lease and to detect members that have ended. */
    QUIET(1, 1, true),
    /** Nothing is new, and the last quiet round was recent. */
    SKIPPED(0, 0, true);

    private final int localPeers;
    private final int remotePeers;
    private final boolean sharesRemotePeers;

    GossipRound(int localPeers, int remotePeers, boolean sharesRemotePeers) {
        this.localPeers = localPeers;
        this.remotePeers = remotePeers;
        this.sharesRemotePeers = sharesRemotePeers;
    }

    /**
     * Returns whether only a few members of each data centre contact other data centres, since the
     * others learn from them.
     */
    boolean sharesRemotePeers() {
        return sharesRemotePeers;
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
