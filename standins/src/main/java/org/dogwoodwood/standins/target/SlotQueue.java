package org.dogwoodwood.standins.target;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/** The slots of a target and the calls that wait for one. */
final class SlotQueue {

    private final int slots;
    private final int maxWaiting;
    private final Queue<TargetCall> waiting = new ArrayDeque<>();
    private int running;
    private int maxRunning;

    SlotQueue(int slots, int maxWaiting) {
        this.slots = slots;
        this.maxWaiting = maxWaiting;
    }

    /** Adds a call, or returns false if the target must shed it. */
    boolean offer(TargetCall call) {
        return waiting.size() < maxWaiting && waiting.add(call);
    }

    /**
     * Assigns a slot to the next waiting call; returns empty if no slot is free or no call waits.
     */
    Optional<TargetCall> startNext() {
        if (running >= slots) {
            return Optional.empty();
        }
        TargetCall next = waiting.poll();
        while (next != null && next.state() != TargetCall.State.WAITING) {
            next = waiting.poll();
        }
        if (next == null) {
            return Optional.empty();
        }
        running++;
        maxRunning = Math.max(maxRunning, running);
        next.state(TargetCall.State.RUNNING);
        return Optional.of(next);
    }

    /** Releases the slot of a call. */
    void release() {
        running--;
    }

    int running() {
        return running;
    }

    int waiting() {
        return waiting.size();
    }

    int maxRunning() {
        return maxRunning;
    }
}
