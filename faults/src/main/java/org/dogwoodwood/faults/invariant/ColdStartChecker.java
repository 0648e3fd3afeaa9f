package org.dogwoodwood.faults.invariant;

import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Journal;

/** Invariant 2: a target in cold start never receives more work than it can handle. */
public final class ColdStartChecker implements InvariantChecker {

    /**
     * The time that a guard needs to detect a target that turned cold without breaking connections:
     * two polls at 2 per second. A restart breaks connections and is detected at once.
     */
    private static final long DETECTION_NANOS = SECOND;

    @Override
    public int number() {
        return 2;
    }

    @Override
    public List<Violation> check(Journal journal) {
        Map<NodeId, Event.TurnedCold> coldSince = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (Event event : journal.events()) {
            if (event instanceof Event.TurnedCold cold) {
                coldSince.put(cold.node(), cold);
            } else if (event instanceof Event.ExecutionStarted start
                    && start.cold()
                    && start.inFlight() > start.coldSlots()
                    && mustBeDetected(coldSince.get(start.node()), start.atNanos())) {
                violations.add(
                        new Violation(
                                2,
                                start.atNanos(),
                                "cold " + start.node() + " works on " + start.inFlight()));
            }
        }
        return violations;
    }

    private static boolean mustBeDetected(Event.TurnedCold cold, long atNanos) {
        return cold.detectable() || atNanos - cold.atNanos() > DETECTION_NANOS;
    }
}
