package org.dogwoodwood.core.health;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * One piece of evidence about a request, exchanged between nodes.
 *
 * @param fingerprint the fingerprint of the request; {@link CrashFingerprintRegistry#NO_REQUEST}
 *     for a crash of a target
 * @param kind what was observed
 * @param guard the node that observed it
 * @param targetIncarnation the incarnation of the target on which it was observed
 * @param sequence distinguishes the observations of one guard about one target incarnation
 * @param ageNanos how long ago it was observed, in nanoseconds
 */
public record CrashRecord(
        long fingerprint,
        CrashKind kind,
        NodeId guard,
        long targetIncarnation,
        long sequence,
        long ageNanos) {

    /** Checks that no reference is null. */
    public CrashRecord {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(guard, "guard");
    }

    /** Returns the record of something that was observed at a crash that has just happened. */
    static CrashRecord ofCrash(
            long fingerprint, CrashKind kind, NodeId guard, long targetIncarnation) {
        return new CrashRecord(fingerprint, kind, guard, targetIncarnation, 0, 0);
    }

    static CrashRecord of(long fingerprint, CrashEvent event, long ageNanos) {
        return new CrashRecord(
                fingerprint,
                event.kind(),
                event.guard(),
                event.targetIncarnation(),
                event.sequence(),
                ageNanos);
    }
}
