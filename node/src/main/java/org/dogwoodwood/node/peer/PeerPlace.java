package org.dogwoodwood.node.peer;

import java.util.Optional;

/** Where a peer is, relative to this node. */
public enum PeerPlace {
    /** In the data centre of this node. */
    LOCAL("local"),
    /** In another data centre, where bytes are expensive. */
    OTHER("other"),
    /** Not known, since the peer has not sent its HELLO or names no data centre. */
    UNKNOWN("unknown");

    private final String label;

    PeerPlace(String label) {
        this.label = label;
    }

    /** Returns the place of a peer, given the data centres of this node and of the peer. */
    public static PeerPlace of(Optional<String> own, Optional<String> peer) {
        if (own.isEmpty() || peer.isEmpty()) {
            return UNKNOWN;
        }
        return own.equals(peer) ? LOCAL : OTHER;
    }

    /** Returns the value of the label {@code place} in metrics. */
    public String label() {
        return label;
    }
}
