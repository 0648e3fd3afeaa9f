package org.dogwoodwood.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;

/**
 * The calls that wait for a slot: earliest deadline first within a class, and classes by weight.
 */
final class DeadlineQueue {

    private static final int DEFAULT_WEIGHT = 1;

    private Map<String, CallClassDefinition> definitions;
    private final Map<String, ClassQueue> queues = new LinkedHashMap<>();
    private int size;
    private long sequence;
    private double virtualTime;

    DeadlineQueue(Map<String, CallClassDefinition> definitions) {
        this.definitions = Map.copyOf(definitions);
    }

    /** Takes in other classes; calls that wait keep their places within their class. */
    void setDefinitions(Map<String, CallClassDefinition> newDefinitions) {
        definitions = Map.copyOf(newDefinitions);
        queues.forEach((name, queue) -> queue.weight = weightOf(name));
    }

    void add(CallDescription call) {
        ClassQueue queue =
                queues.computeIfAbsent(call.callClass(), name -> new ClassQueue(weightOf(name)));
        if (queue.calls.isEmpty()) {
            // A class that was idle must not save up its share.
            queue.served = Math.max(queue.served, virtualTime);
        }
        queue.calls.add(new Entry(call, sequence++));
        size++;
    }

    int size() {
        return size;
    }

    /**
     * Returns the calls of a class that are queued, scaled to the share that the class has of the
     * target: the number of calls that start before a new one of that class would.
     */
    double queuedAhead(String callClass) {
        ClassQueue own = queues.get(callClass);
        int ownSize = own == null ? 0 : own.calls.size();
        int ownWeight = weightOf(callClass);
        double otherStarts = 0;
        for (Map.Entry<String, ClassQueue> entry : queues.entrySet()) {
            if (!entry.getKey().equals(callClass)) {
                ClassQueue other = entry.getValue();
                double share = (double) other.weight / ownWeight;
                otherStarts += Math.min(other.calls.size(), (ownSize + 1) * share);
            }
        }
        return ownSize + otherStarts;
    }

    /** Removes and returns the next call by class weight and deadline, or empty. */
    Optional<CallDescription> poll() {
        ClassQueue next = null;
        for (ClassQueue queue : queues.values()) {
            if (!queue.calls.isEmpty() && (next == null || queue.served < next.served)) {
                next = queue;
            }
        }
        if (next == null) {
            return Optional.empty();
        }
        virtualTime = next.served;
        next.served += 1.0 / next.weight;
        size--;
        return Optional.of(next.calls.remove().call);
    }

    /** Removes and returns the calls whose deadline is before the given time. */
    List<CallDescription> removeDueBefore(long nanos) {
        List<CallDescription> removed = new ArrayList<>();
        for (ClassQueue queue : queues.values()) {
            while (!queue.calls.isEmpty()
                    && queue.calls.element().call.deadlineNanos() - nanos < 0) {
                removed.add(queue.calls.remove().call);
                size--;
            }
        }
        return removed;
    }

    /** Removes and returns the calls with an attempt number below the given one. */
    List<CallDescription> removeAttemptsBelow(int attempt) {
        List<CallDescription> removed = new ArrayList<>();
        for (ClassQueue queue : queues.values()) {
            queue.calls.removeIf(
                    entry -> entry.call.attempt() < attempt && removed.add(entry.call));
        }
        size -= removed.size();
        return removed;
    }

    boolean remove(CallId id, int attempt) {
        for (ClassQueue queue : queues.values()) {
            Iterator<Entry> entries = queue.calls.iterator();
            while (entries.hasNext()) {
                CallDescription call = entries.next().call;
                if (call.attempt() == attempt && call.id().equals(id)) {
                    entries.remove();
                    size--;
                    return true;
                }
            }
        }
        return false;
    }

    private int weightOf(String callClass) {
        CallClassDefinition definition = definitions.get(callClass);
        return definition == null ? DEFAULT_WEIGHT : definition.weight();
    }

    /** The waiting calls of one class. */
    private static final class ClassQueue {
        private int weight;
        private final PriorityQueue<Entry> calls = new PriorityQueue<>(Entry.ORDER);
        private double served;

        ClassQueue(int weight) {
            this.weight = weight;
        }
    }

    /** A waiting call; the sequence keeps calls with equal deadlines in order of arrival. */
    private record Entry(CallDescription call, long sequence) {

        /** Deadlines are compared by difference, since the monotonic clock may wrap around. */
        static final Comparator<Entry> ORDER =
                (left, right) -> {
                    long difference = left.call.deadlineNanos() - right.call.deadlineNanos();
                    return difference == 0
                            ? Long.compare(left.sequence, right.sequence)
                            : Long.signum(difference);
                };
    }
}
