package org.dogwoodwood.benchmarks.policy;

import java.util.function.Supplier;
import org.dogwoodwood.benchmarks.simulation.SimulatedTarget;
import org.dogwoodwood.benchmarks.simulation.World;
import org.dogwoodwood.core.admission.AdmissionController;

/** Asks a target for its speed as the node's guard does; a poll takes no time here. */
final class SimulatedSpeedWatch {

    private static final long FRESH_NANOS = 30_000_000;
    private static final long SLOW_POLL_NANOS = 80_000_000;
    private static final long STILL_SLOW_POLL_NANOS = 200_000_000;

    private final World world;
    private final SimulatedTarget target;
    private final Supplier<AdmissionController> admission;
    private final Runnable polledListener;
    private Runnable changeListener = () -> {};
    private long toldNanos;
    private boolean slowPollScheduled;

    SimulatedSpeedWatch(
            World world,
            SimulatedTarget target,
            Supplier<AdmissionController> admission,
            Runnable polledListener) {
        this.world = world;
        this.target = target;
        this.admission = admission;
        this.polledListener = polledListener;
    }

    /** Sets who is told when the target has become slow or has recovered. */
    void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Polls a target that tells its speed, unless it has done so shortly before. */
    void askUnlessFresh() {
        if (now() - toldNanos > FRESH_NANOS) {
            ask();
        }
    }

    /** Takes in the speed that the target tells beside an answer. */
    void onTold() {
        if (!target.tellsSpeed()) {
            return;
        }
        boolean wasSlow = admission.get().slowdown(now()) > 1;
        boolean slow = target.toldSlowdown() > 1;
        admission.get().onSlowdown(target.toldSlowdown(), now());
        toldNanos = now();
        if (wasSlow != slow) {
            changeListener.run();
        }
        if (slow && !slowPollScheduled) {
            slowPollScheduled = true;
            boolean holding = admission.get().isHolding(now());
            world.events().after(holding ? SLOW_POLL_NANOS : STILL_SLOW_POLL_NANOS, this::slowPoll);
        }
    }

    private void ask() {
        if (target.tellsSpeed()) {
            world.measurements().onPoll(now());
            onTold();
        }
    }

    private void slowPoll() {
        slowPollScheduled = false;
        ask();
        polledListener.run();
    }

    private long now() {
        return world.events().nowNanos();
    }
}
