package org.dogwoodwood.benchmarks.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.dogwoodwood.benchmarks.simulation.SimulatedCall;
import org.dogwoodwood.benchmarks.simulation.SimulatedTarget;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.benchmarks.simulation.Workload;

/**
 * The ideal reference, which cannot be implemented in a real network: one FIFO queue per service
 * with instant knowledge of the free slots and the current speed of every target. Calls incur the
 * same network delays as with other policies, but no slot is idle while a call is in transit.
 */
final class CentralQueuePolicy implements Simulation.ArrivalHandler {

    private final Simulation simulation;
    private final List<List<Integer>> targetsByService = new ArrayList<>();
    private final List<Deque<SimulatedCall>> queues = new ArrayList<>();

    CentralQueuePolicy(Simulation simulation) {
        this.simulation = simulation;
        for (int i = 0; i < simulation.scenario().workload().targetsByService().size(); i++) {
            targetsByService.add(new ArrayList<>());
            queues.add(new ArrayDeque<>());
        }
        for (Workload.Node node : simulation.nodes()) {
            targetsByService.get(node.service()).add(node.index());
        }
    }

    @Override
    public void onArrival(SimulatedCall call) {
        queues.get(call.service()).add(call);
        startQueued(call.service());
    }

    private void startQueued(int service) {
        Deque<SimulatedCall> queue = queues.get(service);
        while (!queue.isEmpty()) {
            SimulatedCall call = queue.element();
            int target = fastestAvailable(service, call.ingress());
            if (target < 0) {
                return;
            }
            queue.remove();
            if (simulation.events().nowNanos() > call.ingressDeadlineNanos()) {
                simulation.fail(call);
            } else {
                start(call, target);
            }
        }
    }

    private void start(SimulatedCall call, int target) {
        simulation.measurements().onAttempt(call);
        simulation.target(target).start(call.demandNanos(), () -> onDone(call, target));
    }

    private void onDone(SimulatedCall call, int target) {
        startQueued(call.service());
        // The call started without a network delay, so its way to the target is added here.
        long requestDelay = simulation.delayNanos(call.ingress(), target);
        simulation
                .events()
                .scheduleAfter(
                        requestDelay,
                        () ->
                                simulation.send(
                                        target, call.ingress(), () -> simulation.answer(call)));
    }

    /**
     * Returns the index of the fastest target with a free slot, or -1 if there is none; ties go to
     * the target with the lowest network delay.
     */
    private int fastestAvailable(int service, int ingress) {
        int best = -1;
        for (int index : targetsByService.get(service)) {
            SimulatedTarget target = simulation.target(index);
            if (target.inFlight() < target.slots()
                    && (best < 0 || isPreferred(index, best, ingress))) {
                best = index;
            }
        }
        return best;
    }

    private boolean isPreferred(int index, int other, int ingress) {
        int bySpeed =
                Double.compare(simulation.target(index).speed(), simulation.target(other).speed());
        if (bySpeed != 0) {
            return bySpeed > 0;
        }
        return simulation.delayNanos(ingress, index) < simulation.delayNanos(ingress, other);
    }
}
