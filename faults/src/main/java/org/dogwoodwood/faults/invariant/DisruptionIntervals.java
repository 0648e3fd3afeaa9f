package org.dogwoodwood.faults.invariant;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.dogwoodwood.faults.simulation.Event;
import org.dogwoodwood.faults.simulation.Event.Disruption;
import org.dogwoodwood.faults.simulation.Journal;

/** The intervals of a run in which faults could delay or prevent the delivery of information. */
final class DisruptionIntervals {

    private record Interval(long fromNanos, long toNanos) {}

    private final List<Interval> intervals = new ArrayList<>();

    private DisruptionIntervals() {}

    /** Returns the intervals in which a disruption of one of the given kinds was active. */
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
     * Returns the time by which an action must have taken effect: the limit after its start, or the
     * limit after the end of the last disruption that started before that deadline.
     *
     * @param startNanos the start of the action, in virtual nanoseconds
     * @param limitNanos the time allowed without disruptions, in nanoseconds
     * @return the deadline in virtual nanoseconds, or {@link Long#MAX_VALUE} if a disruption does
     *     not end
     */
    long deadline(long startNanos, long limitNanos) {
        long deadline = startNanos + limitNanos;
        boolean extended = true;
        while (extended) {
            extended = false;
            for (Interval interval : intervals) {
                boolean overlaps =
                        interval.fromNanos() < deadline && interval.toNanos() > startNanos;
                if (overlaps && interval.toNanos() > deadline - limitNanos) {
                    deadline =
                            interval.toNanos() == Long.MAX_VALUE
                                    ? Long.MAX_VALUE
                                    : interval.toNanos() + limitNanos;
                    extended = deadline != Long.MAX_VALUE;
                }
            }
        }
        return deadline;
    }
}
