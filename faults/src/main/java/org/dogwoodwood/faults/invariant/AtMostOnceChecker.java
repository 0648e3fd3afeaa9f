package org.dogwoodwood.faults.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Journal;
import org.dogwoodwood.faults.simulation.SimulatedCluster;

/**
 * Invariant 6: a non-idempotent request runs at most once, and among all non-idempotent requests
 * with the same key at most one runs within the key window.
 */
public final class AtMostOnceChecker implements InvariantChecker {

    @Override
    public int number() {
        return 6;
    }

    @Override
    public List<Violation> check(Journal journal) {
        Map<Long, Event.ExecutionStarted> byRequest = new HashMap<>();
        Map<String, Event.ExecutionStarted> byKey = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        journal.of(Event.ExecutionStarted.class)
                .filter(start -> !start.request().idempotent())
                .forEach(
                        start -> {
                            Event.ExecutionStarted previous =
                                    byRequest.put(start.request().number(), start);
                            if (previous != null) {
                                violations.add(violation(previous, start));
                            }
                            start.request()
                                    .key()
                                    .map(key -> byKey.put(key, start))
                                    .filter(first -> isWithinWindow(first, start))
                                    .ifPresent(first -> violations.add(violation(first, start)));
                        });
        return violations;
    }

    private static boolean isWithinWindow(
            Event.ExecutionStarted first, Event.ExecutionStarted second) {
        return second.atNanos() - first.atNanos() < SimulatedCluster.KEY_WINDOW_NANOS;
    }

    private static Violation violation(
            Event.ExecutionStarted first, Event.ExecutionStarted second) {
        return new Violation(
                6,
                second.atNanos(),
                "request "
                        + second.request()
                        + " ran on "
                        + first.node()
                        + " at "
                        + first.atNanos()
                        + " and on "
                        + second.node());
    }
}
