package org.dogwoodwood.benchmarks.simulation;

/**
 * A call as sent by its caller.
 *
 * @param number the unique number of the call in its run
 * @param service the index of its service
 * @param ingress the index of the node whose ingress receives it
 * @param sentNanos the virtual time at which the caller sent it, in nanoseconds
 * @param demandNanos the work of the call, in nanoseconds at full speed; a hedge has the same
 *     demand
 * @param idempotent whether the call may run more than once
 * @param times the latency objective and timeout of its caller
 */
public record SimulatedCall(
        long number,
        int service,
        int ingress,
        long sentNanos,
        double demandNanos,
        boolean idempotent,
        CallTimes times) {

    /**
     * Returns the virtual time by which the ingress must have the answer so that it reaches the
     * caller before the timeout, in nanoseconds.
     */
    public long ingressDeadlineNanos() {
        return sentNanos + times.timeoutNanos() - Workload.CALLER_DELAY_NANOS;
    }

    /**
     * Returns the virtual time by which the ingress must have the answer so that it reaches the
     * caller within the latency objective, in nanoseconds.
     */
    public long ingressObjectiveNanos() {
        return sentNanos + times.objectiveNanos() - Workload.CALLER_DELAY_NANOS;
    }
}
