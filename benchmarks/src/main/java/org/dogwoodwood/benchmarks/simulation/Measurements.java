package org.dogwoodwood.benchmarks.simulation;

import org.HdrHistogram.Histogram;

/** Latencies, outcomes and costs of the calls sent in a window of time. */
public final class Measurements {

    private static final long MAX_NANOS = 60_000_000_000L;

    private final Histogram answerLatencies = new Histogram(MAX_NANOS, 3);
    private final Histogram refusalLatencies = new Histogram(MAX_NANOS, 3);
    private final long windowStartNanos;
    private final long windowEndNanos;
    private long calls;
    private long inTime;
    private long refused;
    private long failed;
    private long messages;
    private long polls;
    private long attempts;
    private long hedges;
    private double usefulWorkNanos;

    Measurements(long windowStartNanos, long windowEndNanos) {
        this.windowStartNanos = windowStartNanos;
        this.windowEndNanos = windowEndNanos;
    }

    void onCall(SimulatedCall call) {
        calls += isMeasured(call) ? 1 : 0;
    }

    /**
     * Records an answer.
     *
     * @param call the call
     * @param callerNanos when the answer reaches the caller, in virtual nanoseconds
     * @param ingressNanos when the answer reached the ingress, in virtual nanoseconds
     */
    void onAnswered(SimulatedCall call, long callerNanos, long ingressNanos) {
        if (isMeasured(call)) {
            long latencyNanos = callerNanos - call.sentNanos();
            answerLatencies.recordValue(Math.min(MAX_NANOS, latencyNanos));
            inTime += latencyNanos <= call.times().objectiveNanos() ? 1 : 0;
        }
        if (inWindow(ingressNanos)) {
            usefulWorkNanos += call.demandNanos();
        }
    }

    void onRefused(SimulatedCall call, long nanos) {
        if (isMeasured(call)) {
            refused++;
            refusalLatencies.recordValue(Math.min(MAX_NANOS, nanos - call.sentNanos()));
        }
    }

    void onFailed(SimulatedCall call) {
        failed += isMeasured(call) ? 1 : 0;
    }

    void onMessage(long nanos) {
        messages += inWindow(nanos) ? 1 : 0;
    }

    /** Counts a poll of a target. */
    public void onPoll(long nanos) {
        polls += inWindow(nanos) ? 1 : 0;
    }

    /** Counts an attempt of a call. */
    public void onAttempt(SimulatedCall call) {
        attempts += isMeasured(call) ? 1 : 0;
    }

    /** Counts a hedge of a call. */
    public void onHedge(SimulatedCall call) {
        hedges += isMeasured(call) ? 1 : 0;
    }

    long windowStartNanos() {
        return windowStartNanos;
    }

    long windowEndNanos() {
        return windowEndNanos;
    }

    /**
     * Returns the work of the answers that reached their callers in time, in nanoseconds at full
     * speed.
     */
    public double usefulWorkNanos() {
        return usefulWorkNanos;
    }

    /** Returns the latencies of answered calls, in nanoseconds. */
    public Histogram answerLatencies() {
        return answerLatencies;
    }

    /** Returns the times until callers received a refusal, in nanoseconds. */
    public Histogram refusalLatencies() {
        return refusalLatencies;
    }

    /** Returns the number of calls that were sent in the measured window. */
    public long calls() {
        return calls;
    }

    /** Returns the number of calls that were answered within the latency objective. */
    public long inTime() {
        return inTime;
    }

    /** Returns the number of calls that were refused and not run. */
    public long refused() {
        return refused;
    }

    /** Returns the number of calls that got no answer before their deadline. */
    public long failed() {
        return failed;
    }

    /** Returns a counter divided by the number of calls; 0 without calls. */
    public double perCall(Counter counter) {
        long value =
                switch (counter) {
                    case MESSAGES -> messages;
                    case POLLS -> polls;
                    case ATTEMPTS -> attempts;
                    case HEDGES -> hedges;
                };
        return calls == 0 ? 0 : (double) value / calls;
    }

    /** The counted costs of calls. */
    public enum Counter {
        MESSAGES,
        POLLS,
        ATTEMPTS,
        HEDGES
    }

    private boolean isMeasured(SimulatedCall call) {
        return inWindow(call.sentNanos());
    }

    private boolean inWindow(long nanos) {
        return nanos >= windowStartNanos && nanos < windowEndNanos;
    }
}
