package org.dogwoodwood.faults.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** A virtual clock that runs tasks in order of due time, and in order of scheduling if equal. */
public final class EventLoop {

    public static final long MILLISECOND = 1_000_000L;
    public static final long SECOND = 1_000_000_000L;

    private record Task(long atNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::sequence));
    private final SplittableRandom random;
    private long nowNanos;
    private long sequence;

    private EventLoop(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Creates a loop at time 0 whose random source has the given seed. */
    public static EventLoop create(long seed) {
        return new EventLoop(seed);
    }

    /** Returns the current virtual time, in nanoseconds. */
    public long now() {
        return nowNanos;
    }

    /** Returns the random source that all parts of a run share. */
    public RandomGenerator random() {
        return random;
    }

    /** Schedules a task to run after a delay in nanoseconds; a negative delay counts as 0. */
    public void schedule(long delayNanos, Runnable action) {
        tasks.add(new Task(nowNanos + Math.max(0, delayNanos), sequence++, action));
    }

    /** Runs the tasks that are due up to the given virtual time in nanoseconds, inclusive. */
    public void runUntil(long untilNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= untilNanos) {
            Task task = tasks.remove();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = untilNanos;
    }
}
