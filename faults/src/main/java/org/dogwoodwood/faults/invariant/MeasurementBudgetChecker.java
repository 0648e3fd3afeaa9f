package org.dogwoodwood.faults.invariant;

import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Journal;

/** Invariant 1: the work spent on measuring targets stays within its budget. */
public final class MeasurementBudgetChecker implements InvariantChecker {

    // Two tokens can accumulate; each restart of the process adds one.
    private static final double BURST = 2;

    @Override
    public int number() {
        return 1;
    }

    @Override
    public List<Violation> check(Journal journal) {
        Map<NodeId, List<Long>> polls = new TreeMap<>();
        journal.of(Event.TargetPolled.class)
                .forEach(
                        poll ->
                                polls.computeIfAbsent(poll.node(), any -> new ArrayList<>())
                                        .add(poll.atNanos()));
        Map<NodeId, List<Long>> starts = new TreeMap<>();
        journal.of(Event.NodeStarted.class)
                .forEach(
                        start ->
                                starts.computeIfAbsent(start.node(), any -> new ArrayList<>())
                                        .add(start.atNanos()));
        List<Violation> violations = new ArrayList<>();
        polls.forEach((node, times) -> check(node, times, starts.get(node), violations));
        return violations;
    }

    private void check(
            NodeId node, List<Long> polls, List<Long> starts, List<Violation> violations) {
        for (int from = 0; from < polls.size(); from++) {
            for (int to = from; to < polls.size(); to++) {
                long begin = polls.get(from);
                long end = polls.get(to);
                long restarts =
                        starts.stream().filter(start -> start >= begin && start <= end).count();
                double seconds = (end - begin) / (double) SECOND;
                double allowed =
                        BURST + restarts + MeasurementBudget.DEFAULT_POLLS_PER_SECOND * seconds;
                if (to - from + 1 > allowed + 1e-6) {
                    violations.add(
                            new Violation(
                                    1,
                                    end,
                                    node
                                            + " polled "
                                            + (to - from + 1)
                                            + " times in "
                                            + seconds
                                            + " s"));
                    return;
                }
            }
        }
    }
}
