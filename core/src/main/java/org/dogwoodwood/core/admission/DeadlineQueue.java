package org.dogwoodwood.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.dogwoodwood.core.OrderedCopies;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;

/**
 * Queue of calls that wait for a slot. Calls that can meet their latency objective precede those
 * that cannot; classes are served by start-time fair queueing with their weights, within a class
 * its accounts likewise, and of an account the earliest objective or deadline comes first.
 */
final class DeadlineQueue {

    private static final int DEFAULT_WEIGHT = 1;

    private Map<String, CallClassDefinition> definitions;
    private AccountWeights accountWeights = AccountWeights.equal();
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
        queues.forEach((name, queue) -> queue.setWeight(weightOf(name)));
    }

    /** Applies new weights of accounts; queued calls keep their order within their account. */
    void setAccountWeights(AccountWeights weights) {
        accountWeights = weights;
        queues.values().forEach(queue -> queue.setAccountWeights(weights));
    }

    void add(CallDescription call, long nowNanos) {
        ClassQueue queue =
                queues.computeIfAbsent(call.callClass(), name -> new ClassQueue(weightOf(name)));
        if (queue.isEmpty()) {
            // A class must not accumulate credit while it is idle.
            queue.raiseStartTag(virtualTime);
        }
        queue.add(new QueuedCall(call, sequence++, nowNanos), accountWeights);
        size++;
    }

    int size() {
        return size;
    }

    /**
     * Returns the expected number of calls that start before a new call of a class and account
     * would: the queued calls of the account and, in proportion to their weights, those of other
     * accounts and classes. Late calls are not counted, since they follow all others.
     */
    double queuedAhead(String callClass, String account) {
        ClassQueue own = queues.get(callClass);
        double ownAhead = own == null ? 0 : own.queuedAhead(account, accountWeights);
        int ownWeight = weightOf(callClass);
        double otherStarts = 0;
        for (Map.Entry<String, ClassQueue> entry : queues.entrySet()) {
            if (!entry.getKey().equals(callClass)) {
                ClassQueue other = entry.getValue();
                double share = (double) other.weight() / ownWeight;
                otherStarts += Math.min(other.inTimeSize(), (ownAhead + 1) * share);
            }
        }
        return ownAhead + otherStarts;
    }

    /**
     * Removes and returns the next call by class weight and latency objective, or empty if none is
     * queued. Calls that would miss their objective are returned only if no other call is queued,
     * or in place of another call of their class if their account has missed too many turns.
     *
     * @param nowNanos the current time in nanoseconds
     * @param serviceNanos the expected service time of a call that starts now, in nanoseconds
     */
    Optional<CallDescription> poll(long nowNanos, long serviceNanos) {
        queues.values().forEach(queue -> queue.moveLate(nowNanos + serviceNanos));
        return nextClassQueue(ClassQueue::hasInTime)
                .or(() -> nextClassQueue(ClassQueue::hasLate))
                .map(this::start);
    }

    /** Removes and returns the calls whose deadline is before the given time. */
    List<CallDescription> removeDueBefore(long nanos) {
        List<CallDescription> removed = new ArrayList<>();
        for (ClassQueue queue : queues.values()) {
            queue.removeDueBefore(nanos, removed);
        }
        size -= removed.size();
        return removed;
    }

    private Optional<ClassQueue> nextClassQueue(Predicate<ClassQueue> eligible) {
        ClassQueue next = null;
        for (ClassQueue queue : queues.values()) {
            if (eligible.test(queue) && (next == null || queue.startTag() < next.startTag())) {
                next = queue;
            }
        }
        return Optional.ofNullable(next);
    }

    private CallDescription start(ClassQueue queue) {
        virtualTime = queue.startTag();
        size--;
        return queue.start();
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
                            entry.call().attempt() < attempt
                                    && entry.queuedNanos() - sinceNanos <= 0
                                    && removed.add(entry.call()));
        }
        size -= removed.size();
        return removed;
    }

    boolean remove(CallId id, int attempt) {
        for (ClassQueue queue : queues.values()) {
            if (queue.removeIf(
                    entry -> entry.call().attempt() == attempt && entry.call().id().equals(id))) {
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
}
