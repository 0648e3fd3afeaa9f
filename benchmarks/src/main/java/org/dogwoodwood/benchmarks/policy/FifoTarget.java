package org.dogwoodwood.benchmarks.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import org.dogwoodwood.benchmarks.simulation.SimulatedCall;
import org.dogwoodwood.benchmarks.simulation.SimulatedTarget;
import org.dogwoodwood.benchmarks.simulation.Simulation;

/** A target with an unbounded FIFO queue, which drops calls whose deadline has passed. */
final class FifoTarget {

    private final Simulation simulation;
    private final SimulatedTarget target;
    private final Deque<QueuedCall> queue = new ArrayDeque<>();

    FifoTarget(Simulation simulation, SimulatedTarget target) {
        this.simulation = simulation;
        this.target = target;
    }

    private record QueuedCall(SimulatedCall call, Consumer<Boolean> onEnded) {}

    /**
     * Queues a call.
     *
     * @param call the call
     * @param onEnded is called with true if the call was answered, with false if it was dropped
     */
    void offer(SimulatedCall call, Consumer<Boolean> onEnded) {
        queue.add(new QueuedCall(call, onEnded));
        startQueued();
    }

    /** Returns the number of calls that are running or queued at this target. */
    int inFlightAndQueued() {
        return target.inFlight() + queue.size();
    }

    private void startQueued() {
        while (!queue.isEmpty() && target.inFlight() < target.slots()) {
            QueuedCall next = queue.remove();
            if (simulation.events().nowNanos() > next.call.ingressDeadlineNanos()) {
                next.onEnded.accept(false);
            } else {
                target.start(
                        next.call.demandNanos(),
                        () -> {
                            next.onEnded.accept(true);
                            startQueued();
                        });
            }
        }
    }
}
