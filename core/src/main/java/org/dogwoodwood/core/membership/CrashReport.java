package org.dogwoodwood.core.membership;

import java.util.Objects;
import org.dogwoodwood.core.health.CrashKind;
import org.dogwoodwood.core.model.NodeId;

/**
 * An observation about a request that may crash targets, as carried by gossip.
 *
 * @param fingerprint the fingerprint of the request; {@link
 *     org.dogwoodwood.core.health.CrashFingerprintRegistry#NO_REQUEST} for a crash of a target
 * @param kind what was observed
 * @param guard the node beside the target
 * @param targetIncarnation the incarnation of the observed target
 * @param sequence distinguishes the observations of one guard about one target incarnation
 * @param ageMillis the time since the observation, in milliseconds
 */
public record CrashReport(
        long fingerprint,
        CrashKind kind,
        NodeId guard,
        long targetIncarnation,
        long sequence,
        long ageMillis) {

    // Five numbers and the MessagePack headers of an encoded report.
    private static final int FIXED_BYTES = 44;

    /** Checks that the references are present. */
    public CrashReport {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(guard, "guard");
    }

    /** Returns the identity of the observation, which does not depend on its age. */
    public String key() {
        return kind
                + "/"
                + Long.toHexString(fingerprint)
                + "/"
                + guard
                + "/"
                + targetIncarnation
                + "/"
                + sequence;
    }

    /** Returns an upper bound of the encoded size, in bytes, for names in ASCII. */
    int encodedBytes() {
        return FIXED_BYTES + guard.value().length();
    }
}
