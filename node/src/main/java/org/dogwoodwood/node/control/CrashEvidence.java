package org.dogwoodwood.node.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.health.TrialCrash;
import org.dogwoodwood.core.membership.CrashReport;

/** Evidence about requests that crash targets; used on the control thread. */
public interface CrashEvidence {

    /**
     * Records a crash of the target beside this node.
     *
     * @param inFlight the fingerprints of the requests that were in flight
     * @param tried the one of them that was on trial, if there was one
     * @return the reports to disseminate
     */
    List<CrashReport> onCrash(Set<Long> inFlight, Optional<TrialCrash> tried, long nowNanos);

    /**
     * Records that a target answered a request.
     *
     * @param ageNanos how long ago, in nanoseconds
     * @return the reports to disseminate; none if this says nothing new about a suspect request
     */
    List<CrashReport> onAnswered(long fingerprint, long ageNanos, long nowNanos);

    /** Merges the evidence of another node. */
    void merge(List<CrashReport> reports, long nowNanos);

    /** Applies the longest time for which any service refuses a request that crashed a target. */
    void setHoldNanos(long holdNanos);

    /** Returns the evidence against all suspect requests, by fingerprint. */
    Map<Long, CrashSuspicion> suspicions(long nowNanos);
}
