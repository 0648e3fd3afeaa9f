package org.dogwoodwood.faults.invariant;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Event.Disruption;
import org.dogwoodwood.faults.simulation.Journal;

/** When faults kept information from nodes, which no design can overcome. */
final class DisruptionIntervals {

    private record Interval(long fromNanos, long toNanos) {}

    private final List<Interval> intervals = new ArrayList<>();

    private DisruptionIntervals() {}

    /** Returns the intervals in which a fault of the given kinds was in force. */
    static DisruptionIntervals of(Journal journal, Disruption first, Disruption... others) {
        Set<Disruption> kinds = EnumSet.of(first, others);
        DisruptionIntervals result = new DisruptionIntervals();
        List<Event.DisruptionEnded> ends = journal.of(Event.DisruptionEnded.class).toList();
        journal.of(Event.DisruptionStarted.class)
                .filter(begin -> kinds.contains(begin.kind()))
                .forEach(
                        begin -> {
                            long end =
                                    ends.stream()
                                            .filter(e -> e.kind() == begin.kind())
                                            .filter(e -> e.scope().equals(begin.scope()))
                                            .mapToLong(Event.DisruptionEnded::atNanos)
                                            .filter(at -> at >= begin.atNanos())
                                            .findFirst()
                                            .orElse(Long.MAX_VALUE);
                            result.intervals.add(new Interval(begin.atNanos(), end));
                        });
        return result;
    }

    /**
     * Returns when something must have taken effect that started at a time: after the limit, or the
     * limit after the last impediment that began before that.
     */
    long deadline(long startNanos, long limitNanos) {
        long deadline = startNanos + limitNanos;
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Interval interval : intervals) {
                boolean overlaps =
                        interval.fromNanos() < deadline && interval.toNanos() > startNanos;
                if (overlaps && interval.toNanos() > deadline - limitNanos) {
                    deadline =
                            interval.toNanos() == Long.MAX_VALUE
                                    ? Long.MAX_VALUE
                                    : interval.toNanos() + limitNanos;
                    moved = deadline != Long.MAX_VALUE;
                }
            }
        }
        return deadline;
    }
}
