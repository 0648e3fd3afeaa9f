package org.dogwoodwood.core.health;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * The identity of one observation in relation to crashes of targets.
 *
 * @param kind what was observed
 * @param guard the node that observed it
 * @param targetIncarnation the incarnation of the target; a crash ends it
 * @param sequence distinguishes the observations of one guard about one target incarnation
 */
record CrashEvent(CrashKind kind, NodeId guard, long targetIncarnation, long sequence) {

    CrashEvent {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(guard, "guard");
    }

    static CrashEvent of(CrashRecord record) {
        return new CrashEvent(
                record.kind(), record.guard(), record.targetIncarnation(), record.sequence());
    }

    /** Returns whether both were observed at the crash of the same target. */
    boolean isOfSameCrash(CrashEvent other) {
        return guard.equals(other.guard) && targetIncarnation == other.targetIncarnation;
    }
}
