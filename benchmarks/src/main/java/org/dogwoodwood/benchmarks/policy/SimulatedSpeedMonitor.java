package org.dogwoodwood.benchmarks.policy;

import java.util.function.Supplier;
import org.dogwoodwood.benchmarks.simulation.SimulatedTarget;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.core.admission.AdmissionController;

/**
 * Polls a target for its slowdown as the guard of a real node does; a poll takes no virtual time.
 */
final class SimulatedSpeedMonitor {

    private static final long MAX_REPORT_AGE_NANOS = 30_000_000;
    private static final long HOLDING_POLL_DELAY_NANOS = 80_000_000;
    private static final long SLOW_POLL_DELAY_NANOS = 200_000_000;

    private final Simulation simulation;
    private final SimulatedTarget target;
    private final Supplier<AdmissionController> admission;
    private final Runnable pollListener;
    private Runnable changeListener = () -> {};
    private long lastReportNanos;
    private boolean slowPollScheduled;

    SimulatedSpeedMonitor(
            Simulation simulation,
            SimulatedTarget target,
            Supplier<AdmissionController> admission,
            Runnable pollListener) {
        this.simulation = simulation;
        this.target = target;
        this.admission = admission;
        this.pollListener = pollListener;
    }

    /** Sets the listener to run when the target has become slow or has recovered. */
    void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Polls a target that reports its slowdown, unless the last report is still fresh. */
    void pollUnlessFresh() {
        if (now() - lastReportNanos > MAX_REPORT_AGE_NANOS) {
            poll();
        }
    }

    /** Applies the slowdown that the target reports with an answer or a poll. */
    void onSlowdownReported() {
        if (!target.reportsSlowdown()) {
            return;
        }
        boolean wasSlow = admission.get().slowdown(now()) > 1;
        boolean slow = target.reportedSlowdown() > 1;
        admission.get().onSlowdown(target.reportedSlowdown(), now());
        lastReportNanos = now();
        if (wasSlow != slow) {
            changeListener.run();
        }
        if (slow && !slowPollScheduled) {
            slowPollScheduled = true;
            boolean holding = admission.get().isHolding(now());
            simulation
                    .events()
                    .scheduleAfter(
                            holding ? HOLDING_POLL_DELAY_NANOS : SLOW_POLL_DELAY_NANOS,
                            this::pollSlowTarget);
        }
    }

    private void poll() {
        if (target.reportsSlowdown()) {
            simulation.measurements().onPoll(now());
            onSlowdownReported();
        }
    }

    private void pollSlowTarget() {
        slowPollScheduled = false;
        poll();
        pollListener.run();
    }

    private long now() {
        return simulation.events().nowNanos();
    }
}
