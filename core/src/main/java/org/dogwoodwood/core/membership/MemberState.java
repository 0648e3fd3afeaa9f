package org.dogwoodwood.core.membership;

/**
 * The state of a member. The first four are declared by the member, the others observed by peers.
 */
public enum MemberState {
    /** The node is running, but it or its target is not ready for calls. */
    JOINING,
    /** The node and its target accept calls. */
    READY,
    /** The target completes its pending calls and accepts no new ones. */
    DRAINING,
    /** The node is shutting down. */
    LEAVING,
    /** Exchanges with the member have failed. */
    SUSPECT,
    /** The member did not refute the suspicion within the suspect timeout. */
    DEAD
}
