package org.dogwoodwood.benchmarks.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.dogwoodwood.benchmarks.simulation.SimulatedCall;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.benchmarks.simulation.Workload;

/**
 * A baseline policy: each ingress chooses a target by a {@link TargetChooser}, and the call waits
 * in the FIFO queue of that target.
 */
final class BaselinePolicy implements Simulation.ArrivalHandler {

    private static final long REPORT_INTERVAL_NANOS = 200_000_000;

    private final Simulation simulation;
    private final TargetChooser chooser;
    private final SplittableRandom random;
    private final List<List<Integer>> targetsByService = new ArrayList<>();
    private final List<TargetChooser.SenderState> senders = new ArrayList<>();
    private final List<FifoTarget> targets = new ArrayList<>();

    BaselinePolicy(Simulation simulation, long seed, TargetChooser chooser) {
        this.simulation = simulation;
        this.chooser = chooser;
        this.random = new SplittableRandom(seed);
        simulation.scenario().workload().targetsByService().forEach(n -> addService());
        for (Workload.Node node : simulation.nodes()) {
            targetsByService.get(node.service()).add(node.index());
            senders.add(new TargetChooser.SenderState(simulation.nodes().size(), random));
            targets.add(new FifoTarget(simulation, simulation.target(node.index())));
        }
        if (chooser == TargetChooser.TWO_CHOICES) {
            simulation.events().scheduleAfter(REPORT_INTERVAL_NANOS, this::sendReports);
        }
    }

    @Override
    public void onArrival(SimulatedCall call) {
        TargetChooser.SenderState sender = senders.get(call.ingress());
        int target = chooser.choose(targetsByService.get(call.service()), sender, random);
        sender.inFlight[target]++;
        simulation.measurements().onAttempt(call);
        simulation.send(
                call.ingress(),
                target,
                () ->
                        targets.get(target)
                                .offer(call, answered -> sendAnswer(call, target, answered)));
    }

    private void sendAnswer(SimulatedCall call, int target, boolean answered) {
        int load = targets.get(target).inFlightAndQueued();
        long now = simulation.events().nowNanos();
        simulation.send(
                target,
                call.ingress(),
                () -> {
                    TargetChooser.SenderState sender = senders.get(call.ingress());
                    sender.inFlight[target]--;
                    applyReport(sender, target, load, now);
                    if (answered) {
                        simulation.answer(call);
                    } else {
                        simulation.fail(call);
                    }
                });
    }

    /** Sends the load of each target to the senders without a report from the last interval. */
    private void sendReports() {
        long now = simulation.events().nowNanos();
        if (now > simulation.scenario().endNanos()) {
            return;
        }
        for (int target = 0; target < targets.size(); target++) {
            int from = target;
            int load = targets.get(target).inFlightAndQueued();
            for (int sender = 0; sender < senders.size(); sender++) {
                if (senders.get(sender).reportTimesNanos[target] <= now - REPORT_INTERVAL_NANOS) {
                    TargetChooser.SenderState receiver = senders.get(sender);
                    simulation.send(from, sender, () -> applyReport(receiver, from, load, now));
                }
            }
        }
        simulation.events().scheduleAfter(REPORT_INTERVAL_NANOS, this::sendReports);
    }

    private static void applyReport(
            TargetChooser.SenderState sender, int target, int load, long nanos) {
        if (nanos >= sender.reportTimesNanos[target]) {
            sender.reportedLoads[target] = load;
            sender.reportTimesNanos[target] = nanos;
        }
    }

    private void addService() {
        targetsByService.add(new ArrayList<>());
    }
}
