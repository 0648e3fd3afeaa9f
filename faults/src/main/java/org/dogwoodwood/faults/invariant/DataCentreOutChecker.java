package org.dogwoodwood.faults.invariant;

import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Event.Disruption;
import org.dogwoodwood.faults.simulation.Journal;

/** Invariant 3: a data centre that was taken out receives no new work after 2 s. */
public final class DataCentreOutChecker implements InvariantChecker {

    private static final long LIMIT_NANOS = 2 * SECOND;

    @Override
    public int number() {
        return 3;
    }

    @Override
    public List<Violation> check(Journal journal) {
        DisruptionIntervals partitions = DisruptionIntervals.of(journal, Disruption.PARTITION);
        Map<String, Long> outSince = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (Event event : journal.events()) {
            if (event instanceof Event.DataCentreOrdered order) {
                if (order.out()) {
                    outSince.put(order.dataCentre(), order.atNanos());
                } else {
                    outSince.remove(order.dataCentre());
                }
            } else if (event instanceof Event.ExecutionStarted start) {
                Long since = outSince.get(start.dataCentre());
                if (since != null && start.atNanos() > partitions.deadline(since, LIMIT_NANOS)) {
                    violations.add(
                            new Violation(
                                    3,
                                    start.atNanos(),
                                    start.node()
                                            + " started work although its data centre is"
                                            + " out since "
                                            + since));
                }
            }
        }
        return violations;
    }
}
