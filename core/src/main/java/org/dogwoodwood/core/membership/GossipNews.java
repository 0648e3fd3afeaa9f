package org.dogwoodwood.core.membership;

/** What waits to be spread by gossip. */
public enum GossipNews {
    NONE,
    /** Changes of members, which need not reach other data centres in the same round. */
    ORDINARY,
    /** Orders, crash reports, leaving members and unreachable members of other data centres. */
    URGENT
}
