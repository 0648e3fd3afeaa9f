package org.dogwoodwood.benchmarks.simulation;

import java.util.PriorityQueue;

/**
 * A fake target: each slot works at the same speed, which noisy neighbours lower. A cold target
 * that gets more calls than its cold slots slows down in proportion.
 */
public final class SimulatedTarget {

    public static final int COLD_SLOTS = 2;

    private final EventQueue events;
    private final int slots;
    private final TargetModel model;
    private final PriorityQueue<Run> runs = new PriorityQueue<>();
    private double neighbourSpeed = 1;
    private boolean cold;
    private int openConnections;
    private int peakRuns;
    private double workNanos;
    private long workAtNanos;
    private double usedNanos;
    private double availableNanos;
    private long version;
    private boolean accounting;

    SimulatedTarget(EventQueue events, int slots, TargetModel model) {
        this.events = events;
        this.slots = slots;
        this.model = model;
    }

    /** A call that the target works on. */
    public static final class Run implements Comparable<Run> {
        private final double endWork;
        private final Runnable onDone;

        private Run(double endWork, Runnable onDone) {
            this.endWork = endWork;
            this.onDone = onDone;
        }

        @Override
        public int compareTo(Run other) {
            return Double.compare(endWork, other.endWork);
        }
    }

    /** Returns the number of calls that the target can work on at a time. */
    public int slots() {
        return slots;
    }

    /** Returns the number of calls that the target works on. */
    public int running() {
        return runs.size();
    }

    /** Returns whether the target is cold. */
    public boolean isCold() {
        return cold;
    }

    /** Returns whether the target tells its speed. */
    public boolean tellsSpeed() {
        return model.tellsSpeed();
    }

    /** Returns how long work that starts now takes for its neighbours, 1 without any. */
    public double toldSlowdown() {
        return 1 / neighbourSpeed;
    }

    /** Returns the present speed of each slot, 1 without a neighbour. */
    public double speed() {
        if (model.tellsSpeed()) {
            return 1;
        }
        boolean overloaded = cold && runs.size() > COLD_SLOTS;
        return overloaded ? neighbourSpeed * COLD_SLOTS / runs.size() : neighbourSpeed;
    }

    /** Starts a call; the action runs when the target has answered it. */
    public Run start(double demandNanos, Runnable onDone) {
        advance();
        double connect = 0;
        if (runs.size() + 1 > openConnections) {
            openConnections++;
            connect = Workload.CONNECT_NANOS;
        }
        double slowdown = model.slowdownAtStart(neighbourSpeed, runs.size() + 1, slots);
        Run run = new Run(workNanos + slowdown * demandNanos + connect, onDone);
        runs.add(run);
        peakRuns = Math.max(peakRuns, runs.size());
        schedule();
        return run;
    }

    /** Ends a call without an answer. */
    public void cancel(Run run) {
        advance();
        if (runs.remove(run)) {
            schedule();
        }
    }

    /** Returns whether the target still works on a call. */
    public boolean isRunning(Run run) {
        return runs.contains(run);
    }

    /** Sets the share of its usual speed that neighbours leave to the target. */
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

    /** Returns the largest number of calls that the target worked on at a time. */
    public int peakRuns() {
        return peakRuns;
    }

    /** Starts the accounts of work. */
    void startAccounts() {
        advance();
        accounting = true;
    }

    /** Closes the accounts of work. */
    void closeAccounts() {
        advance();
        accounting = false;
    }

    /** Returns the accounted work that the target did, in slot nanoseconds at full speed. */
    double usedNanos() {
        return usedNanos;
    }

    /** Returns the work that its slots could have done in the same time. */
    double availableNanos() {
        return availableNanos;
    }

    private void advance() {
        long now = events.nowNanos();
        double done = (now - workAtNanos) * speed();
        workNanos += done;
        if (accounting) {
            usedNanos += done * runs.size();
            availableNanos += (now - workAtNanos) * neighbourSpeed * slots;
        }
        workAtNanos = now;
    }

    private void schedule() {
        version++;
        Run first = runs.peek();
        if (first != null) {
            long scheduled = version;
            double delay = Math.max(0, first.endWork - workNanos) / speed();
            events.after((long) Math.ceil(delay), () -> finish(scheduled));
        }
    }

    private void finish(long scheduled) {
        if (scheduled != version) {
            return;
        }
        advance();
        Run first = runs.remove();
        schedule();
        first.onDone.run();
    }
}
