package org.dogwoodwood.faults.invariant;

import static org.dogwoodwood.faults.simulation.EventLoop.MILLISECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Event.Disruption;
import org.dogwoodwood.faults.simulation.Journal;

/**
 * Invariant 4: every caller receives the whole response to its own request, once and in time,
 * unless the process that accepted the request ended or was paused.
 */
public final class OwnResponseChecker implements InvariantChecker {

    private static final long SLACK_NANOS = 50 * MILLISECOND;

    @Override
    public int number() {
        return 4;
    }

    @Override
    public List<Violation> check(Journal journal) {
        DisruptionIntervals pauses = DisruptionIntervals.of(journal, Disruption.PAUSE);
        long end = journal.events().get(journal.events().size() - 1).atNanos();
        Map<Long, Event.RequestSubmitted> submitted = new HashMap<>();
        journal.of(Event.RequestSubmitted.class)
                .forEach(event -> submitted.put(event.request().number(), event));
        Set<Long> answered = new HashSet<>();
        List<Violation> violations = new ArrayList<>();
        journal.of(Event.ResponseReceived.class)
                .forEach(
                        answer -> {
                            Event.RequestSubmitted call = submitted.get(answer.request());
                            if (!answered.add(answer.request())) {
                                violations.add(violation(answer, "was answered twice"));
                            }
                            checkBody(call, answer, violations);
                            long deadline = dueNanos(call, pauses);
                            if (answer.atNanos() > deadline) {
                                violations.add(violation(answer, "was answered late"));
                            }
                        });
        List<Event.NodeStopped> stops = journal.of(Event.NodeStopped.class).toList();
        submitted.values().stream()
                .filter(call -> !answered.contains(call.request().number()))
                .filter(call -> dueNanos(call, pauses) < end)
                .filter(
                        call ->
                                !stopped(
                                        stops,
                                        call.ingress(),
                                        call.atNanos(),
                                        dueNanos(call, pauses)))
                .forEach(
                        call ->
                                violations.add(
                                        new Violation(
                                                4,
                                                call.atNanos(),
                                                "request "
                                                        + call.request().number()
                                                        + " at "
                                                        + call.ingress()
                                                        + " was never answered")));
        return violations;
    }

    private static void checkBody(
            Event.RequestSubmitted call,
            Event.ResponseReceived answer,
            List<Violation> violations) {
        boolean correct =
                answer.outcome() != Outcome.ANSWERED
                        || answer.body().filter(call.request().expectedBody()::equals).isPresent();
        if (!correct) {
            violations.add(violation(answer, "got " + answer.body()));
        }
    }

    private static Violation violation(Event.ResponseReceived answer, String detail) {
        return new Violation(4, answer.atNanos(), "request " + answer.request() + " " + detail);
    }

    private static long dueNanos(Event.RequestSubmitted call, DisruptionIntervals pauses) {
        return pauses.deadline(call.atNanos(), call.request().timeoutNanos() + SLACK_NANOS);
    }

    private static boolean stopped(List<Event.NodeStopped> stops, NodeId node, long from, long to) {
        return stops.stream()
                .anyMatch(
                        stop ->
                                stop.node().equals(node)
                                        && stop.atNanos() >= from
                                        && stop.atNanos() <= to);
    }
}
