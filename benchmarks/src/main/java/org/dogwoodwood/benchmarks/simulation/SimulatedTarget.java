package org.dogwoodwood.benchmarks.simulation;

import java.util.PriorityQueue;

/**
 * A simulated target. All slots run at the same speed, which noisy neighbours reduce. A cold target
 * with more calls in flight than {@link #COLD_SLOTS} slows down in proportion.
 */
public final class SimulatedTarget {

    public static final int COLD_SLOTS = 2;

    private final EventQueue events;
    private final int slots;
    private final TargetModel model;
    private final PriorityQueue<RunningCall> runningCalls = new PriorityQueue<>();
    private double neighbourSpeed = 1;
    private boolean cold;
    private int openConnections;
    private int peakInFlight;
    private double workPerSlotNanos;
    private long advancedAtNanos;
    private double workDoneNanos;
    private double availableNanos;
    private long scheduleVersion;
    private boolean accounting;

    SimulatedTarget(EventQueue events, int slots, TargetModel model) {
        this.events = events;
        this.slots = slots;
        this.model = model;
    }

    /** A call that the target is running. */
    public static final class RunningCall implements Comparable<RunningCall> {
        private final double endWorkNanos;
        private final Runnable onDone;

        private RunningCall(double endWorkNanos, Runnable onDone) {
            this.endWorkNanos = endWorkNanos;
            this.onDone = onDone;
        }

        @Override
        public int compareTo(RunningCall other) {
            return Double.compare(endWorkNanos, other.endWorkNanos);
        }
    }

    /** Returns the number of calls that the target can run concurrently. */
    public int slots() {
        return slots;
    }

    /** Returns the number of calls that the target is running. */
    public int inFlight() {
        return runningCalls.size();
    }

    /** Returns whether the target is cold. */
    public boolean isCold() {
        return cold;
    }

    /** Returns whether the target reports its slowdown. */
    public boolean reportsSlowdown() {
        return model.reportsSlowdown();
    }

    /**
     * Returns the reported slowdown of work that starts now, as a multiple of the usual time; 1
     * without neighbours.
     */
    public double reportedSlowdown() {
        return 1 / neighbourSpeed;
    }

    /**
     * Returns the current speed of each slot as a share of the full speed, 1 without neighbours.
     */
    public double speed() {
        if (model.reportsSlowdown()) {
            return 1;
        }
        boolean overloaded = cold && runningCalls.size() > COLD_SLOTS;
        return overloaded ? neighbourSpeed * COLD_SLOTS / runningCalls.size() : neighbourSpeed;
    }

    /**
     * Starts a call.
     *
     * @param demandNanos the work of the call, in nanoseconds at full speed
     * @param onDone runs when the target has answered the call
     * @return the running call
     */
    public RunningCall start(double demandNanos, Runnable onDone) {
        advance();
        double connectNanos = 0;
        if (runningCalls.size() + 1 > openConnections) {
            openConnections++;
            connectNanos = Workload.CONNECT_NANOS;
        }
        double slowdown = model.slowdownAtStart(neighbourSpeed, runningCalls.size() + 1, slots);
        RunningCall call =
                new RunningCall(workPerSlotNanos + slowdown * demandNanos + connectNanos, onDone);
        runningCalls.add(call);
        peakInFlight = Math.max(peakInFlight, runningCalls.size());
        schedule();
        return call;
    }

    /** Stops a call without an answer; does nothing if it has already ended. */
    public void cancel(RunningCall call) {
        advance();
        if (runningCalls.remove(call)) {
            schedule();
        }
    }

    /** Returns whether the target is still running a call. */
    public boolean isRunning(RunningCall call) {
        return runningCalls.contains(call);
    }

    /** Sets the share of the full speed that neighbours leave to the target. */
    public void setNeighbourSpeed(double newSpeed) {
        advance();
        neighbourSpeed = newSpeed;
        schedule();
    }

    /** Makes the target cold or warm. */
    public void setCold(boolean newCold) {
        advance();
        cold = newCold;
        schedule();
    }

    /** Returns the largest number of calls that the target ran concurrently. */
    public int peakInFlight() {
        return peakInFlight;
    }

    /** Starts to record the work done and the work available. */
    void startAccounting() {
        advance();
        accounting = true;
    }

    /** Stops recording the work done and the work available. */
    void stopAccounting() {
        advance();
        accounting = false;
    }

    /** Returns the recorded work that the target did, in slot nanoseconds at full speed. */
    double workDoneNanos() {
        return workDoneNanos;
    }

    /** Returns the work that all slots could have done in the same time, in the same unit. */
    double availableNanos() {
        return availableNanos;
    }

    private void advance() {
        long now = events.nowNanos();
        double done = (now - advancedAtNanos) * speed();
        workPerSlotNanos += done;
        if (accounting) {
            workDoneNanos += done * runningCalls.size();
            availableNanos += (now - advancedAtNanos) * neighbourSpeed * slots;
        }
        advancedAtNanos = now;
    }

    private void schedule() {
        scheduleVersion++;
        RunningCall first = runningCalls.peek();
        if (first != null) {
            long scheduled = scheduleVersion;
            double delay = Math.max(0, first.endWorkNanos - workPerSlotNanos) / speed();
            events.scheduleAfter((long) Math.ceil(delay), () -> finish(scheduled));
        }
    }

    private void finish(long scheduled) {
        // A later change of speed or calls has rescheduled the event.
        if (scheduled != scheduleVersion) {
            return;
        }
        advance();
        RunningCall first = runningCalls.remove();
        schedule();
        first.onDone.run();
    }
}
