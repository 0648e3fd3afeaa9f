package org.dogwoodwood.benchmarks.simulation;

import org.HdrHistogram.Histogram;

/** What callers see, and what it costs. */
public final class Measurements {

    private static final long MAX_NANOS = 60_000_000_000L;

    private final Histogram answered = new Histogram(MAX_NANOS, 3);
    private final Histogram refusals = new Histogram(MAX_NANOS, 3);
    private final long fromNanos;
    private final long untilNanos;
    private long calls;
    private long inTime;
    private long refused;
    private long failed;
    private long messages;
    private long polls;
    private long attempts;
    private long hedges;
    private double usefulNanos;

    Measurements(long fromNanos, long untilNanos) {
        this.fromNanos = fromNanos;
        this.untilNanos = untilNanos;
    }

    void onCall(SimulatedCall call) {
        calls += counts(call) ? 1 : 0;
    }

    void onAnswered(SimulatedCall call, long callerNanos, long ingressNanos) {
        if (counts(call)) {
            long latencyNanos = callerNanos - call.sentNanos();
            answered.recordValue(Math.min(MAX_NANOS, latencyNanos));
            inTime += latencyNanos <= call.times().objectiveNanos() ? 1 : 0;
        }
        if (inWindow(ingressNanos)) {
            usefulNanos += call.demandNanos();
        }
    }

    void onRefused(SimulatedCall call, long nanos) {
        if (counts(call)) {
            refused++;
            refusals.recordValue(Math.min(MAX_NANOS, nanos - call.sentNanos()));
        }
    }

    void onFailed(SimulatedCall call) {
        failed += counts(call) ? 1 : 0;
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
        attempts += counts(call) ? 1 : 0;
    }

    /** Counts a hedge of a call. */
    public void onHedge(SimulatedCall call) {
        hedges += counts(call) ? 1 : 0;
    }

    long fromNanos() {
        return fromNanos;
    }

    long untilNanos() {
        return untilNanos;
    }

    /** Returns the work of the answers that reached their callers in time. */
    public double usefulNanos() {
        return usefulNanos;
    }

    /** Returns the latencies of answered calls, in nanoseconds. */
    public Histogram answered() {
        return answered;
    }

    /** Returns the time until refused callers were told, in nanoseconds. */
    public Histogram refusals() {
        return refusals;
    }

    /** Returns the calls that were sent in the measured time. */
    public long calls() {
        return calls;
    }

    /** Returns the calls that were answered within the latency objective. */
    public long inTime() {
        return inTime;
    }

    /** Returns the calls that were refused and not run. */
    public long refused() {
        return refused;
    }

    /** Returns the calls that got no answer in time. */
    public long failed() {
        return failed;
    }

    /** Returns a count as a ratio to the calls. */
    public double perCall(Count count) {
        long value =
                switch (count) {
                    case MESSAGES -> messages;
                    case POLLS -> polls;
                    case ATTEMPTS -> attempts;
                    case HEDGES -> hedges;
                };
        return calls == 0 ? 0 : (double) value / calls;
    }

    /** The kinds of cost that are counted. */
    public enum Count {
        MESSAGES,
        POLLS,
        ATTEMPTS,
        HEDGES
    }

    private boolean counts(SimulatedCall call) {
        return inWindow(call.sentNanos());
    }

    private boolean inWindow(long nanos) {
        return nanos >= fromNanos && nanos < untilNanos;
    }
}
