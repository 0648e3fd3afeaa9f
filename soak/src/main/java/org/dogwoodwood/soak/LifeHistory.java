package org.dogwoodwood.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** What was done to one process of a node; all times are of {@link System#nanoTime()}. */
final class LifeHistory {

    private static final int MAX_EVENTS = 12;

    private final String name;
    private final long startNanos;
    private final Deque<String> events = new ArrayDeque<>();
    private boolean opened;
    private boolean terminated;
    private boolean killed;
    private boolean suspended;
    private boolean unready;
    private long graceStartNanos;
    private long waitingSinceNanos;

    /**
     * Creates the history of a process that starts.
     *
     * @param name tells the node and the process in violations
     */
    LifeHistory(String name, long startNanos) {
        this.name = name;
        this.startNanos = startNanos;
        this.waitingSinceNanos = startNanos;
    }

    /** Adds a signal that is about to be sent. */
    synchronized void addSignal(NodeSignal signal, long nowNanos) {
        switch (signal) {
            case TERMINATE -> {
                graceStartNanos = terminated ? graceStartNanos : nowNanos;
                terminated = true;
            }
            case KILL -> killed = true;
            case SUSPEND -> suspended = true;
            case RESUME -> {
                suspended = false;
                graceStartNanos = nowNanos;
                waitingSinceNanos = nowNanos;
            }
            default -> {}
        }
        addEvent(signal.toString(), nowNanos);
    }

    /** Adds an event that violations tell, for example that the settings were written. */
    synchronized void addEvent(String event, long nowNanos) {
        if (events.size() == MAX_EVENTS) {
            events.removeFirst();
        }
        events.addLast(event + " at " + millisAt(nowNanos) + " ms");
    }

    /** Adds an answer of the readiness port. */
    synchronized void addProbe(boolean ready, long nowNanos) {
        if (!opened) {
            opened = true;
            addEvent("readiness port open", nowNanos);
        }
        if (ready) {
            waitingSinceNanos = nowNanos;
        }
    }

    String name() {
        return name;
    }

    /** Returns the last events, each with milliseconds since the start. */
    synchronized List<String> events() {
        return List.copyOf(events);
    }

    long millisAt(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
    }

    /** Returns whether the readiness port has answered, with whatever status. */
    synchronized boolean isOpened() {
        return opened;
    }

    synchronized boolean isTerminated() {
        return terminated;
    }

    synchronized boolean isKilled() {
        return killed;
    }

    /** Returns for how long the process has been able to end since SIGTERM, in milliseconds. */
    synchronized long stoppingMillis(long nowNanos) {
        return terminated && !suspended
                ? TimeUnit.NANOSECONDS.toMillis(nowNanos - graceStartNanos)
                : 0;
    }

    /**
     * Returns for how long the process could have become ready and has not, in milliseconds.
     *
     * @param storeUpNanos since when the store has been up
     */
    synchronized long unreadyMillis(long storeUpNanos, long nowNanos) {
        if (terminated || killed || suspended) {
            return 0;
        }
        long sinceNanos = Math.max(waitingSinceNanos, storeUpNanos);
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
    }

    /** Returns true at the first call, so that one process breaks the rule once. */
    synchronized boolean markUnready() {
        boolean first = !unready;
        unready = true;
        return first;
    }
}
