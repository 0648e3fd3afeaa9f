package org.dogwoodwood.core.membership;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * The liveness of one version of a member, without the other fields of its entry.
 *
 * @param node the member
 * @param incarnation the observed incarnation
 * @param version the observed version
 * @param liveness the observed liveness
 */
public record LivenessUpdate(NodeId node, long incarnation, long version, Liveness liveness) {

    // Two numbers, the liveness and the MessagePack headers of an encoded update.
    private static final int FIXED_BYTES = 24;

    /** Checks that the references are present. */
    public LivenessUpdate {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(liveness, "liveness");
    }

    /** Returns an upper bound of the encoded size, in bytes, for names in ASCII. */
    int encodedBytes() {
        return FIXED_BYTES + node.value().length();
    }

    long stateHash() {
        long hash = StableHash.of(node.value());
        hash = StableHash.combine(hash, incarnation);
        hash = StableHash.combine(hash, version);
        return StableHash.combine(hash, liveness.code());
    }
}
