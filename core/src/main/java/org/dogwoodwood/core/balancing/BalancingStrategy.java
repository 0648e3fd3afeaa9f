package org.dogwoodwood.core.balancing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;

/** Chooses the target of a call. Each ingress has one instance per service. */
public interface BalancingStrategy {

    /**
     * Chooses a target.
     *
     * @param candidates the targets of the service that accept new calls, not null
     * @param excluded nodes that have refused this call, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     * @param random the source of randomness, not null
     * @return the chosen node, or empty if no candidate remains
     */
    Optional<NodeId> choose(
            List<Candidate> candidates,
            Set<NodeId> excluded,
            long nowNanos,
            RandomGenerator random);

    /**
     * Chooses a target for a call that should stay in the local data centre while it can meet its
     * objective there.
     *
     * @param groups the targets of the service that accept new calls, by data centre, not null
     * @param excluded nodes that have refused this call, not null
     * @param callNeeds the time that the call has left and its size, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     * @param random the source of randomness, not null
     * @return the chosen node, or empty if no candidate remains
     */
    Optional<NodeId> choose(
            CandidateGroups groups,
            Set<NodeId> excluded,
            CallNeeds callNeeds,
            long nowNanos,
            RandomGenerator random);

    /**
     * Records that the target of a node is there again: failures of the time before say nothing
     * about it.
     */
    default void onReturned(NodeId node) {}

    /**
     * Records that a call was sent to a node.
     *
     * @param node the node
     * @param nowNanos the current time in nanoseconds
     */
    void onSent(NodeId node, long nowNanos);

    /**
     * Records that a call sent to a node has ended, whatever the result.
     *
     * @param node the node
     * @param result the result of the call
     * @param latencyNanos the time since it was sent, in nanoseconds
     * @param nowNanos the current time in nanoseconds
     */
    void onEnded(NodeId node, AttemptResult result, long latencyNanos, long nowNanos);

    /**
     * Records a load report; one that is older than the newest report of its guard has no effect.
     *
     * @param report the report, not null
     * @param nowNanos the current time in nanoseconds
     */
    void onReport(LoadReport report, long nowNanos);

    /**
     * Returns the expected time for which a call sent to a node now would wait for a slot, in
     * nanoseconds. If the wait is long even at the chosen target, it is long at the others too, and
     * the call should be queued there rather than offered to each in turn.
     *
     * @param node the chosen node
     * @param nowNanos the current time in nanoseconds
     */
    default long expectedWaitNanos(NodeId node, long nowNanos) {
        return 0;
    }

    /** Returns the usual service time of calls, in nanoseconds, or 0 if it is unknown. */
    default long serviceNanos() {
        return 0;
    }

    /**
     * Returns whether a call at a node probably takes much longer than it would at another one, so
     * that a hedge can help. A hedge does not help a call whose own work is long.
     *
     * @param node the node that runs the call
     * @param nowNanos the current time in nanoseconds
     */
    default boolean isSlow(NodeId node, long nowNanos) {
        return true;
    }

    /**
     * Sets the number of ingress nodes that read the same reports of free capacity.
     *
     * @param count the number, including this one
     */
    default void setSenders(int count) {}

    /**
     * Returns the estimated number of free slots in the local data centre, or empty if no target
     * there has reported recently. The time it takes grows with the number of local targets, so it
     * is not called for each call.
     *
     * @param groups the targets of the service that accept new calls, by data centre, not null
     * @param nowNanos the current time in nanoseconds
     */
    default OptionalInt freeSlots(CandidateGroups groups, long nowNanos) {
        return OptionalInt.empty();
    }

    /**
     * Returns the present service time of a target as a multiple of the usual one; its report
     * counts less the older it is.
     *
     * @param node the node beside the target
     * @param nowNanos the current time in nanoseconds
     */
    default double slowdown(NodeId node, long nowNanos) {
        return 1;
    }

    /** Returns the number of calls that a target runs at a time, or 1 if it is unknown. */
    default int limit(NodeId node) {
        return 1;
    }

    /** Returns whether the load reports of a target contain its slowdown. */
    default boolean reportsSlowdown(NodeId node) {
        return false;
    }
}
