package org.dogwoodwood.benchmarks.simulation;

/**
 * One call of a caller.
 *
 * @param number the number of the call
 * @param service the index of its service
 * @param ingress the index of the node that accepts it
 * @param sentNanos when the caller sent it
 * @param demandNanos the work that it asks for, in nanoseconds at full speed; a hedge asks for the
 *     same
 * @param idempotent whether it may run twice
 * @param times how long its caller waits
 */
public record SimulatedCall(
        long number,
        int service,
        int ingress,
        long sentNanos,
        double demandNanos,
        boolean idempotent,
        CallTimes times) {

    /** Returns when the ingress must have the answer for the caller to have it in time. */
    public long ingressDeadlineNanos() {
        return sentNanos + times.timeoutNanos() - Workload.CALLER_DISTANCE_NANOS;
    }

    /** Returns until when an answer has its full value at the ingress. */
    public long ingressObjectiveNanos() {
        return sentNanos + times.objectiveNanos() - Workload.CALLER_DISTANCE_NANOS;
    }
}
