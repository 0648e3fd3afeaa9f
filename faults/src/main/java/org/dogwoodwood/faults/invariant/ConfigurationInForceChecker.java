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

/**
 * Invariant 9: an accepted configuration is in force on every running node within 4 s, is the same
 * everywhere, and is never reverted.
 */
public final class ConfigurationInForceChecker implements InvariantChecker {

    private static final long LIMIT_NANOS = 4 * SECOND;

    @Override
    public int number() {
        return 9;
    }

    @Override
    public List<Violation> check(Journal journal) {
        List<Violation> violations = new ArrayList<>();
        checkVersions(journal, violations);
        checkDistribution(journal, violations);
        return violations;
    }

    private static void checkVersions(Journal journal, List<Violation> violations) {
        Map<Long, String> accepted = new HashMap<>();
        journal.of(Event.PublicationAccepted.class)
                .forEach(event -> accepted.put(event.version(), event.publicationId()));
        Map<String, Long> latest = new HashMap<>();
        journal.of(Event.ConfigurationInForce.class)
                .forEach(
                        event -> {
                            String process = event.node() + "/" + event.incarnation();
                            Long previous = latest.put(process, event.version());
                            if (previous != null && previous > event.version()) {
                                violations.add(
                                        violation(event, "went back from version " + previous));
                            }
                            if (!event.publicationId().equals(accepted.get(event.version()))) {
                                violations.add(violation(event, "applied what was not accepted"));
                            }
                        });
    }

    private static void checkDistribution(Journal journal, List<Violation> violations) {
        DisruptionIntervals disruptions =
                DisruptionIntervals.of(
                        journal, Disruption.PARTITION, Disruption.LOG, Disruption.PAUSE);
        long end = journal.events().get(journal.events().size() - 1).atNanos();
        List<Event.PublicationAccepted> accepted =
                journal.of(Event.PublicationAccepted.class).toList();
        List<Event.ConfigurationInForce> inForce =
                journal.of(Event.ConfigurationInForce.class).toList();
        journal.of(Event.NodeStarted.class)
                .forEach(
                        start -> {
                            long stop = stopOf(journal, start);
                            for (Event.PublicationAccepted version : accepted) {
                                long from = Math.max(version.atNanos(), start.atNanos());
                                long due = disruptions.deadline(from, LIMIT_NANOS);
                                boolean observed = due < stop && due < end;
                                if (observed && !isInForce(inForce, start, version, due)) {
                                    violations.add(
                                            new Violation(
                                                    9,
                                                    due,
                                                    start.node()
                                                            + " does not have version "
                                                            + version.version()
                                                            + " in force"));
                                }
                            }
                        });
    }

    private static long stopOf(Journal journal, Event.NodeStarted start) {
        return journal.of(Event.NodeStopped.class)
                .filter(stop -> stop.node().equals(start.node()))
                .mapToLong(Event.NodeStopped::atNanos)
                .filter(at -> at >= start.atNanos())
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    private static boolean isInForce(
            List<Event.ConfigurationInForce> inForce,
            Event.NodeStarted start,
            Event.PublicationAccepted version,
            long due) {
        NodeId node = start.node();
        return inForce.stream()
                .anyMatch(
                        event ->
                                event.node().equals(node)
                                        && event.incarnation() == start.incarnation()
                                        && event.version() >= version.version()
                                        && event.atNanos() <= due);
    }

    private static Violation violation(Event.ConfigurationInForce event, String detail) {
        return new Violation(9, event.atNanos(), event.node() + " " + detail);
    }
}
