package org.dogwoodwood.core.health;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import org.dogwoodwood.core.model.NodeId;

/**
 * Temporarily ejects failing targets of one service from load balancing, based on the calls of one
 * ingress. Not thread-safe.
 *
 * <p>The share of targets that are ejected at the same time is limited, so that a fault common to
 * all targets does not concentrate the load on a few.
 */
public final class OutlierEjection {

    private static final int CONSECUTIVE_FAILURES = 5;
    private static final double FAILURE_RATIO = 0.5;
    private static final int RATIO_MIN_CALLS = 20;
    private static final double RATIO_WEIGHT = 0.05;
    private static final long BASE_EJECTION_NANOS = 1_000_000_000L;
    private static final int MAX_DOUBLINGS = 5;

    private final double maxShare;
    private final Map<NodeId, TargetHealth> healthByNode = new HashMap<>();

    private OutlierEjection(double maxShare) {
        this.maxShare = maxShare;
    }

    /**
     * Returns an instance without ejected targets.
     *
     * @param maxShare the largest share of targets that may be ejected at the same time, from 0 to
     *     1
     */
    public static OutlierEjection create(double maxShare) {
        checkArgument(maxShare >= 0 && maxShare <= 1, "The share must be from 0 to 1.");
        return new OutlierEjection(maxShare);
    }

    /**
     * Records the result of a call.
     *
     * @param node the node that the call was sent to
     * @param failed whether the result is evidence that the target is unhealthy
     * @param targetCount the number of known targets of the service
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public void onEnded(NodeId node, boolean failed, int targetCount, long nowNanos) {
        TargetHealth health = healthByNode.computeIfAbsent(node, ignored -> new TargetHealth());
        health.record(failed);
        if (failed && health.isOutlier() && !health.isEjected(nowNanos)) {
            if (ejectedCount(nowNanos) + 1 <= maxShare * targetCount) {
                health.eject(nowNanos);
            }
        }
    }

    /**
     * Returns whether a target is currently ejected.
     *
     * @param node the node
     * @param nowNanos the current time in nanoseconds
     */
    public boolean isEjected(NodeId node, long nowNanos) {
        TargetHealth health = healthByNode.get(node);
        return health != null && health.isEjected(nowNanos);
    }

    /** Forgets a target that has left, or that was gone and is there again. */
    public void remove(NodeId node) {
        healthByNode.remove(node);
    }

    private int ejectedCount(long nowNanos) {
        int count = 0;
        for (TargetHealth health : healthByNode.values()) {
            if (health.isEjected(nowNanos)) {
                count++;
            }
        }
        return count;
    }

    /** The observed health of one target. */
    private static final class TargetHealth {
        private int consecutiveFailures;
        private int calls;
        private double failureRatio;
        private int ejections;
        private boolean ejected;
        private long ejectedUntilNanos;

        void record(boolean failed) {
            calls++;
            failureRatio += RATIO_WEIGHT * ((failed ? 1 : 0) - failureRatio);
            consecutiveFailures = failed ? consecutiveFailures + 1 : 0;
            if (consecutiveFailures == 0 && failureRatio < RATIO_WEIGHT) {
                ejections = 0;
            }
        }

        boolean isOutlier() {
            return consecutiveFailures >= CONSECUTIVE_FAILURES
                    || (calls >= RATIO_MIN_CALLS && failureRatio > FAILURE_RATIO);
        }

        boolean isEjected(long nowNanos) {
            if (ejected && nowNanos - ejectedUntilNanos >= 0) {
                ejected = false;
                consecutiveFailures = 0;
                calls = 0;
            }
            return ejected;
        }

        void eject(long nowNanos) {
            ejected = true;
            ejectedUntilNanos =
                    nowNanos + (BASE_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS));
            ejections++;
        }
    }
}
