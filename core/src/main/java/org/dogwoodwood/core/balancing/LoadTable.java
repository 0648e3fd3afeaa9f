package org.dogwoodwood.core.balancing;

import java.util.HashMap;
import java.util.Map;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/**
 * What one ingress knows of the load of each target: the newest report, and its own calls. Reports
 * that arrive late or out of order are dropped. Used by one thread.
 */
public final class LoadTable {

    private static final double ORDINARY_WEIGHT = 0.02;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final Map<NodeId, TargetLoad> loadByNode = new HashMap<>();
    private double ordinaryServiceNanos;
    private long reportsOfSpeed;

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
     * Takes in a report.
     *
     * @param report the report, not null
     * @param nowNanos when it arrived, in nanoseconds
     * @return whether it was newer than what was known
     */
    public boolean onReport(LoadReport report, long nowNanos) {
        boolean newer = of(report.guard()).onReport(report, nowNanos);
        if (newer) {
            double nanos = report.serviceTimeMicros() * NANOS_PER_MICRO;
            ordinaryServiceNanos += weightOf(report) * (nanos - ordinaryServiceNanos);
        }
        return newer;
    }

    /** Returns the recent service time over all targets that report, in nanoseconds. */
    double ordinaryServiceNanos() {
        return ordinaryServiceNanos;
    }

    /** Returns whether the targets of the service tell their speed. */
    boolean isSpeedTold() {
        return reportsOfSpeed > 0;
    }

    /** Forgets a node that has left. */
    public void forget(NodeId node) {
        loadByNode.remove(node);
    }

    /**
     * Returns the weight of a report in the ordinary service time. Targets that tell their speed
     * are compared with it, so the guesses before their first calls have ended must not stay in it.
     */
    private double weightOf(LoadReport report) {
        if (!report.tellsSpeed()) {
            return ordinaryServiceNanos == 0 ? 1 : ORDINARY_WEIGHT;
        }
        reportsOfSpeed++;
        return Math.max(ORDINARY_WEIGHT, 1.0 / reportsOfSpeed);
    }
}
