package org.dogwoodwood.core.balancing;

import java.util.HashMap;
import java.util.Map;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/**
 * The load of each target as known to one ingress: the newest load report and the ingress's own
 * calls. Reports that are late or out of order are dropped. Not thread-safe.
 */
public final class LoadTable {

    /** Lowest weight of one report in the moving mean of service times. */
    private static final double MIN_REPORT_WEIGHT = 0.02;

    private static final double NANOS_PER_MICRO = 1_000.0;

    private final Map<NodeId, TargetLoad> loadByNode = new HashMap<>();
    private double overallServiceNanos;
    private long slowdownReports;

    private LoadTable() {}

    /** Returns an empty table. */
    public static LoadTable create() {
        return new LoadTable();
    }

    /** Returns the load of a node, creating an empty entry for an unknown node. */
    TargetLoad of(NodeId node) {
        TargetLoad load = loadByNode.get(node);
        if (load == null) {
            load = new TargetLoad();
            loadByNode.put(node, load);
        }
        return load;
    }

    /**
     * Records a load report.
     *
     * @param report the report, not null
     * @param nowNanos when it arrived, on the monotonic clock, in nanoseconds
     * @return whether it was newer than the last recorded report of its guard
     */
    public boolean onReport(LoadReport report, long nowNanos) {
        boolean newer = of(report.guard()).onReport(report, nowNanos);
        if (newer) {
            double nanos = report.serviceTimeMicros() * NANOS_PER_MICRO;
            overallServiceNanos += weightOf(report) * (nanos - overallServiceNanos);
        }
        return newer;
    }

    /**
     * Returns the moving mean of the reported service times of all targets, in nanoseconds, or 0 if
     * none has reported.
     */
    double overallServiceNanos() {
        return overallServiceNanos;
    }

    /** Returns whether any target of the service has reported its slowdown. */
    boolean reportsSlowdown() {
        return slowdownReports > 0;
    }

    /** Removes the load of a node that has left. */
    public void remove(NodeId node) {
        loadByNode.remove(node);
    }

    /**
     * Returns the weight of a report in the overall service time. Targets that report their
     * slowdown are compared with that time, so the estimates made before their first calls have
     * ended must not persist in it.
     */
    private double weightOf(LoadReport report) {
        if (!report.hasSlowdown()) {
            return overallServiceNanos == 0 ? 1 : MIN_REPORT_WEIGHT;
        }
        slowdownReports++;
        return Math.max(MIN_REPORT_WEIGHT, 1.0 / slowdownReports);
    }
}
