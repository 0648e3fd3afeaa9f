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
import org.dogwoodwood.core.OrderedCopies;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;

/**
 * Queue of calls that wait for a slot. Calls that can meet their latency objective precede those
 * that cannot; classes are served by start-time fair queueing with their weights, and within a
 * class the earliest objective or deadline comes first.
 */
final class DeadlineQueue {

    private static final int DEFAULT_WEIGHT = 1;

    private Map<String, CallClassDefinition> definitions;
    private final Map<String, ClassQueue> queues = new LinkedHashMap<>();
    private int size;
    private long sequence;
    private double virtualTime;

    DeadlineQueue(Map<String, CallClassDefinition> definitions) {
        this.definitions = OrderedCopies.copyOf(definitions);
    }

    /** Applies new class definitions; queued calls keep their order within their class. */
    void setDefinitions(Map<String, CallClassDefinition> newDefinitions) {
        definitions = OrderedCopies.copyOf(newDefinitions);
        queues.forEach((name, queue) -> queue.weight = weightOf(name));
    }

    void add(CallDescription call, long nowNanos) {
        ClassQueue queue =
                queues.computeIfAbsent(call.callClass(), name -> new ClassQueue(weightOf(name)));
        if (queue.isEmpty()) {
            // A class must not accumulate credit while it is idle.
            queue.startTag = Math.max(queue.startTag, virtualTime);
        }
        queue.inTime.add(new Entry(call, sequence++, nowNanos));
        size++;
    }

    int size() {
        return size;
    }

    /**
     * Returns the expected number of calls that start before a new call of a class would: the
     * queued calls of the class and, in proportion to their weights, those of other classes. Late
     * calls are not counted, since they follow all others.
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
     * Removes and returns the next call by class weight and latency objective, or empty if none is
     * queued. Calls that would miss their objective are returned only if no other call is queued.
     *
     * @param nowNanos the current time in nanoseconds
     * @param serviceNanos the expected service time of a call that starts now, in nanoseconds
     */
    Optional<CallDescription> poll(long nowNanos, long serviceNanos) {
        queues.values().forEach(queue -> queue.moveLate(nowNanos + serviceNanos));
        Optional<ClassQueue> next = nextClassQueue(queue -> !queue.inTime.isEmpty());
        if (next.isPresent()) {
            return Optional.of(start(next.get(), next.get().inTime));
        }
        return nextClassQueue(queue -> !queue.late.isEmpty())
                .map(queue -> start(queue, queue.late));
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

    private Optional<ClassQueue> nextClassQueue(Predicate<ClassQueue> eligible) {
        ClassQueue next = null;
        for (ClassQueue queue : queues.values()) {
            if (eligible.test(queue) && (next == null || queue.startTag < next.startTag)) {
                next = queue;
            }
        }
        return Optional.ofNullable(next);
    }

    private CallDescription start(ClassQueue queue, PriorityQueue<Entry> calls) {
        virtualTime = queue.startTag;
        queue.startTag += 1.0 / queue.weight;
        size--;
        return calls.remove().call;
    }

    /**
     * Removes and returns the calls with an attempt number below the given one that were queued at
     * or before the given time.
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

    /** The queued calls of one class. */
    private static final class ClassQueue {
        private final PriorityQueue<Entry> inTime = new PriorityQueue<>(Entry.BY_OBJECTIVE);
        private final PriorityQueue<Entry> late = new PriorityQueue<>(Entry.BY_DEADLINE);
        private int weight;
        private double startTag;

        ClassQueue(int weight) {
            this.weight = weight;
        }

        boolean isEmpty() {
            return inTime.isEmpty() && late.isEmpty();
        }

        /** Moves calls whose objective is before the given time to the late calls. */
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

    /** A queued call; the sequence orders calls with equal times by arrival. */
    private record Entry(CallDescription call, long sequence, long queuedNanos) {

        static final Comparator<Entry> BY_OBJECTIVE = by(CallDescription::objectiveNanos);
        static final Comparator<Entry> BY_DEADLINE = by(CallDescription::deadlineNanos);

        /** Compares times by their difference, since the monotonic clock may wrap around. */
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
