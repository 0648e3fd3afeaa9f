package org.dogwoodwood.benchmarks.simulation;

import java.util.PriorityQueue;

/** A virtual clock with a queue of actions, which run in order of time, then of insertion. */
public final class EventQueue {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNanos;
    private long sequence;

    /** Returns the current virtual time in nanoseconds. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Schedules an action for a virtual time in nanoseconds; a time in the past counts as now. */
    public void scheduleAt(long nanos, Runnable action) {
        events.add(new Event(Math.max(nanos, nowNanos), sequence++, action));
    }

    /** Schedules an action to run after a delay in nanoseconds. */
    public void scheduleAfter(long delayNanos, Runnable action) {
        scheduleAt(nowNanos + delayNanos, action);
    }

    /**
     * Runs all actions up to a virtual time, including those that they schedule.
     *
     * @param endNanos the virtual time at which the clock stops, in nanoseconds
     */
    public void runUntil(long endNanos) {
        while (!events.isEmpty() && events.element().nanos <= endNanos) {
            Event event = events.remove();
            nowNanos = event.nanos;
            event.action.run();
        }
        nowNanos = Math.max(nowNanos, endNanos);
    }

    private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
