package org.dogwoodwood.faults.invariant;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Journal;

/** Invariant 8: a graceful shutdown interrupts no request in flight. */
public final class GracefulShutdownChecker implements InvariantChecker {

    @Override
    public int number() {
        return 8;
    }

    @Override
    public List<Violation> check(Journal journal) {
        List<Violation> violations = new ArrayList<>();
        journal.of(Event.LeavingEnded.class)
                .filter(end -> end.inFlight() > 0)
                .map(
                        end ->
                                new Violation(
                                        8,
                                        end.atNanos(),
                                        end.node()
                                                + " stopped with "
                                                + end.inFlight()
                                                + " requests in flight"))
                .forEach(violations::add);
        return violations;
    }
}
