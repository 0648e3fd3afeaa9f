package org.dogwoodwood.faults.invariant;

import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Event.Disruption;
import org.dogwoodwood.faults.simulation.Journal;

/** Invariant 7: a target that is leaving receives no new work after 2 s. */
public final class LeavingChecker implements InvariantChecker {

    private static final long LIMIT_NANOS = 2 * SECOND;

    @Override
    public int number() {
        return 7;
    }

    @Override
    public List<Violation> check(Journal journal) {
        DisruptionIntervals pauses = DisruptionIntervals.of(journal, Disruption.PAUSE);
        Map<NodeId, Long> leavingSince = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (Event event : journal.events()) {
            if (event instanceof Event.LeavingStarted begin) {
                leavingSince.putIfAbsent(begin.node(), begin.atNanos());
            } else if (event instanceof Event.LeavingEnded end) {
                leavingSince.remove(end.node());
            } else if (event instanceof Event.NodeStopped stop) {
                leavingSince.remove(stop.node());
            } else if (event instanceof Event.ExecutionStarted start) {
                Long since = leavingSince.get(start.node());
                if (since != null && start.atNanos() > pauses.deadline(since, LIMIT_NANOS)) {
                    violations.add(
                            new Violation(
                                    7,
                                    start.atNanos(),
                                    start.node()
                                            + " started work although it is leaving since "
                                            + since));
                }
            }
        }
        return violations;
    }
}
