package org.dogwoodwood.faults.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** A virtual clock that runs tasks in order of time and then of scheduling. */
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

    /** Returns a loop at time 0 whose randomness follows from the seed. */
    public static EventLoop create(long seed) {
        return new EventLoop(seed);
    }

    /** Returns the present virtual time, in nanoseconds. */
    public long now() {
        return nowNanos;
    }

    /** Returns the only source of randomness of a run. */
    public RandomGenerator random() {
        return random;
    }

    /** Schedules a task after a delay in nanoseconds. */
    public void schedule(long delayNanos, Runnable action) {
        tasks.add(new Task(nowNanos + Math.max(0, delayNanos), sequence++, action));
    }

    /** Runs tasks until the given time, in nanoseconds. */
    public void runUntil(long untilNanos) {
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= untilNanos) {
            Task task = tasks.remove();
            nowNanos = task.atNanos();
            task.action().run();
        }
        nowNanos = untilNanos;
    }
}
