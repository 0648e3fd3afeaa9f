package org.dogwoodwood.core.admission;

import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.dogwoodwood.core.model.CallDescription;

/** The queued calls of one class and account; the earliest objective or deadline comes first. */
final class AccountQueue {

    private final PriorityQueue<QueuedCall> inTime = new PriorityQueue<>(QueuedCall.BY_OBJECTIVE);
    private final PriorityQueue<QueuedCall> late = new PriorityQueue<>(QueuedCall.BY_DEADLINE);
    private double weight;
    private double startTag;

    void setWeight(double newWeight) {
        weight = newWeight;
    }

    double weight() {
        return weight;
    }

    double startTag() {
        return startTag;
    }

    /** Raises the start tag: an account must not accumulate credit without limit. */
    void raiseStartTag(double virtualTime) {
        startTag = Math.max(startTag, virtualTime);
    }

    void add(QueuedCall call) {
        inTime.add(call);
    }

    boolean isEmpty() {
        return inTime.isEmpty() && late.isEmpty();
    }

    boolean hasInTime() {
        return !inTime.isEmpty();
    }

    boolean hasLate() {
        return !late.isEmpty();
    }

    int inTimeSize() {
        return inTime.size();
    }

    /** Returns how many of the calls that are in time have a start tag up to the given one. */
    double startsUpTo(double tag) {
        return tag < startTag
                ? 0
                : Math.min(inTime.size(), Math.floor((tag - startTag) * weight) + 1);
    }

    /** Moves calls whose objective is before the given time to the late calls. */
    void moveLate(long nanos) {
        while (!inTime.isEmpty() && inTime.element().call().objectiveNanos() - nanos < 0) {
            late.add(inTime.remove());
        }
    }

    /** Removes the next call, preferably one that is in time, and charges the account for it. */
    CallDescription start() {
        startTag += 1 / weight;
        return (inTime.isEmpty() ? late : inTime).remove().call();
    }

    /** Moves the calls whose deadline is before the given time to a list. */
    void removeDueBefore(long nanos, List<CallDescription> removed) {
        // A call past its deadline is past its objective as well.
        moveLate(nanos);
        while (!late.isEmpty() && late.element().call().deadlineNanos() - nanos < 0) {
            removed.add(late.remove().call());
        }
    }

    boolean removeIf(Predicate<QueuedCall> condition) {
        boolean removedInTime = inTime.removeIf(condition);
        boolean removedLate = late.removeIf(condition);
        return removedInTime || removedLate;
    }
}
