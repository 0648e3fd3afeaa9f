package org.dogwoodwood.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;

/**
 * The calls that wait for a slot: those that can meet their latency objective before those that
 * cannot, classes by weight, and within a class the most urgent first.
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

    void add(CallDescription call, long nowNanos) {
        ClassQueue queue =
                queues.computeIfAbsent(call.callClass(), name -> new ClassQueue(weightOf(name)));
        if (queue.isEmpty()) {
            // A class that was idle must not save up its share.
            queue.served = Math.max(queue.served, virtualTime);
        }
        queue.inTime.add(new Entry(call, sequence++, nowNanos));
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
        int ownSize = own == null ? 0 : own.inTime.size();
        int ownWeight = weightOf(callClass);
        double otherStarts = 0;
        for (Map.Entry<String, ClassQueue> entry : queues.entrySet()) {
            if (!entry.getKey().equals(callClass)) {
                ClassQueue other = entry.getValue();
                double share = (double) other.weight / ownWeight;
                otherStarts += Math.min(other.inTime.size(), (ownSize + 1) * share);
            }
        }
        return ownSize + otherStarts;
    }

    /**
     * Removes and returns the next call by class weight and latency objective, or empty. Calls that
     * would miss their objective follow when no other call waits.
     *
     * @param nowNanos the present time in nanoseconds
     * @param serviceNanos how long a call takes that starts now, in nanoseconds
     */
    Optional<CallDescription> poll(long nowNanos, long serviceNanos) {
        queues.values().forEach(queue -> queue.moveLate(nowNanos + serviceNanos));
        Optional<ClassQueue> punctual = fairest(queue -> !queue.inTime.isEmpty());
        if (punctual.isPresent()) {
            return Optional.of(start(punctual.get(), punctual.get().inTime));
        }
        return fairest(queue -> !queue.late.isEmpty()).map(queue -> start(queue, queue.late));
    }

    /** Removes and returns the calls whose deadline is before the given time. */
    List<CallDescription> removeDueBefore(long nanos) {
        List<CallDescription> removed = new ArrayList<>();
        for (ClassQueue queue : queues.values()) {
            // A call past its deadline is past its objective as well.
            queue.moveLate(nanos);
            while (!queue.late.isEmpty() && queue.late.element().call.deadlineNanos() - nanos < 0) {
                removed.add(queue.late.remove().call);
                size--;
            }
        }
        return removed;
    }

    private Optional<ClassQueue> fairest(Predicate<ClassQueue> eligible) {
        ClassQueue next = null;
        for (ClassQueue queue : queues.values()) {
            if (eligible.test(queue) && (next == null || queue.served < next.served)) {
                next = queue;
            }
        }
        return Optional.ofNullable(next);
    }

    private CallDescription start(ClassQueue queue, PriorityQueue<Entry> calls) {
        virtualTime = queue.served;
        queue.served += 1.0 / queue.weight;
        size--;
        return calls.remove().call;
    }

    /**
     * Removes and returns the calls with an attempt number below the given one that have waited
     * since the given time or longer.
     */
    List<CallDescription> removeAttemptsBelow(int attempt, long sinceNanos) {
        List<CallDescription> removed = new ArrayList<>();
        for (ClassQueue queue : queues.values()) {
            queue.removeIf(
                    entry ->
                            entry.call.attempt() < attempt
                                    && entry.queuedNanos - sinceNanos <= 0
                                    && removed.add(entry.call));
        }
        size -= removed.size();
        return removed;
    }

    boolean remove(CallId id, int attempt) {
        for (ClassQueue queue : queues.values()) {
            if (queue.removeIf(
                    entry -> entry.call.attempt() == attempt && entry.call.id().equals(id))) {
                size--;
                return true;
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
        private final PriorityQueue<Entry> inTime = new PriorityQueue<>(Entry.BY_OBJECTIVE);
        private final PriorityQueue<Entry> late = new PriorityQueue<>(Entry.BY_DEADLINE);
        private int weight;
        private double served;

        ClassQueue(int weight) {
            this.weight = weight;
        }

        boolean isEmpty() {
            return inTime.isEmpty() && late.isEmpty();
        }

        /** Sets calls apart whose objective is before a time. */
        void moveLate(long nanos) {
            while (!inTime.isEmpty() && inTime.element().call.objectiveNanos() - nanos < 0) {
                late.add(inTime.remove());
            }
        }

        boolean removeIf(Predicate<Entry> condition) {
            boolean removedInTime = inTime.removeIf(condition);
            boolean removedLate = late.removeIf(condition);
            return removedInTime || removedLate;
        }
    }

    /** A waiting call; the sequence keeps calls with equal times in order of arrival. */
    private record Entry(CallDescription call, long sequence, long queuedNanos) {

        static final Comparator<Entry> BY_OBJECTIVE = by(CallDescription::objectiveNanos);
        static final Comparator<Entry> BY_DEADLINE = by(CallDescription::deadlineNanos);

        /** Times are compared by difference, since the monotonic clock may wrap around. */
        private static Comparator<Entry> by(ToLongFunction<CallDescription> time) {
            return (left, right) -> {
                long difference = time.applyAsLong(left.call) - time.applyAsLong(right.call);
                return difference == 0
                        ? Long.compare(left.sequence, right.sequence)
                        : Long.signum(difference);
            };
        }
    }
}
