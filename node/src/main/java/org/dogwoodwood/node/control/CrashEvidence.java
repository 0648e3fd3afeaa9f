package org.dogwoodwood.node.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dogwoodwood.core.health.CrashSuspicion;
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
     * Records a request that was on trial when the target beside this node crashed.
     *
     * @return the reports to disseminate
     */
    List<CrashReport> onTrialCrash(long fingerprint, long nowNanos);

    /**
     * Records requests that a target answered.
     *
     * @return the reports to disseminate; none of requests that are not suspect
     */
    List<CrashReport> onCleared(Set<Long> fingerprints, long nowNanos);

    /** Merges the evidence of another node. */
    void merge(List<CrashReport> reports, long nowNanos);

    /** Applies the longest time for which any service refuses a request that crashed a target. */
    void setHoldNanos(long holdNanos);

    /** Returns the evidence against all suspect requests, by fingerprint. */
    Map<Long, CrashSuspicion> suspicions(long nowNanos);
}
