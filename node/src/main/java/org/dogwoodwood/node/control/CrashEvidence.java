package org.dogwoodwood.node.control;

import java.util.List;
import java.util.Set;
import org.dogwoodwood.core.membership.CrashReport;

/** Evidence about requests that crash targets; used on the control thread. */
public interface CrashEvidence {

    /**
     * Records the requests that were in flight when the target beside this node crashed.
     *
     * @return the reports to disseminate
     */
    List<CrashReport> onCrash(Set<Long> fingerprints, long nowNanos);

    /**
     * Records suspect requests that the target beside this node ran to their end.
     *
     * @return the reports to disseminate
     */
    List<CrashReport> onCleared(Set<Long> fingerprints, long nowNanos);

    /** Merges the evidence of another node. */
    void merge(List<CrashReport> reports, long nowNanos);

    /** Returns the fingerprints of requests that are refused. */
    Set<Long> blockedFingerprints(long nowNanos);

    /** Returns the fingerprints of requests that run only at their trial target. */
    Set<Long> suspectFingerprints(long nowNanos);
}
