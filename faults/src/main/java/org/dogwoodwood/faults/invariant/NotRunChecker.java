package org.dogwoodwood.faults.invariant;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Journal;

/** Invariant 5: a request that was refused as not run never runs, before or after the refusal. */
public final class NotRunChecker implements InvariantChecker {

    @Override
    public int number() {
        return 5;
    }

    @Override
    public List<Violation> check(Journal journal) {
        Set<Long> refused =
                journal.of(Event.ResponseReceived.class)
                        .filter(answer -> answer.outcome() == Outcome.NOT_RUN)
                        .map(Event.ResponseReceived::request)
                        .collect(Collectors.toSet());
        return journal.of(Event.ExecutionStarted.class)
                .filter(start -> refused.contains(start.request().number()))
                .map(
                        start ->
                                new Violation(
                                        5,
                                        start.atNanos(),
                                        "request "
                                                + start.request().number()
                                                + " was refused as not run but ran on "
                                                + start.node()))
                .toList();
    }
}
