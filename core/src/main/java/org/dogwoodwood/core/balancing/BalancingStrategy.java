package org.dogwoodwood.core.balancing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/** Chooses the target of a call; one instance serves one service at one ingress. */
public interface BalancingStrategy {

    /**
     * Chooses a target.
     *
     * @param candidates the targets of the service that may be given work, not null
     * @param excluded nodes that have refused this call, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
     * @param random the source of randomness
     * @return the chosen node, or empty if no candidate is left
     */
    Optional<NodeId> choose(
            List<Candidate> candidates,
            Set<NodeId> excluded,
            long nowNanos,
            RandomGenerator random);

    /**
     * Tells the strategy that a call was sent to a node.
     *
     * @param node the node
     * @param nowNanos the present time in nanoseconds
     */
    void onSent(NodeId node, long nowNanos);

    /**
     * Tells the strategy that a call sent to a node has ended, however it ended.
     *
     * @param node the node
     * @param result how the call ended
     * @param latencyNanos the time since it was sent, in nanoseconds
     * @param nowNanos the present time in nanoseconds
     */
    void onEnded(NodeId node, AttemptResult result, long latencyNanos, long nowNanos);

    /**
     * Takes in a report of load; reports that arrive late or out of order have no effect.
     *
     * @param report the report, not null
     * @param nowNanos the present time in nanoseconds
     */
    void onReport(LoadReport report, long nowNanos);

    /**
     * Returns how long a call sent to a node now would probably wait for a slot, in nanoseconds. If
     * even the chosen target makes calls wait long, others do too, and the call should queue there
     * rather than ask them in turn.
     *
     * @param node the chosen node
     * @param nowNanos the present time in nanoseconds
     */
    default long expectedWaitNanos(NodeId node, long nowNanos) {
        return 0;
    }

    /** Returns how long calls usually take, in nanoseconds; 0 if that is not known. */
    default long serviceNanos() {
        return 0;
    }

    /**
     * Returns whether a call at a node probably takes much longer than it would at another one, so
     * that a hedge can help. A call whose own work is long gains nothing from a hedge.
     *
     * @param node the node that works on the call
     * @param nowNanos the present time in nanoseconds
     */
    default boolean isSlow(NodeId node, long nowNanos) {
        return true;
    }

    /** Returns whether a target tells its speed with its reports. */
    default boolean tellsSpeed(NodeId node) {
        return false;
    }
}
