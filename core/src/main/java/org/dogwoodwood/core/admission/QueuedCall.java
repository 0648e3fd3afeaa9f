package org.dogwoodwood.core.admission;

import java.util.Comparator;
import java.util.function.ToLongFunction;
import org.dogwoodwood.core.model.CallDescription;

/**
 * A queued call; the sequence orders calls with equal times by arrival.
 *
 * @param call the call
 * @param sequence its number in the order of arrival
 * @param queuedNanos when it was queued, in nanoseconds
 */
record QueuedCall(CallDescription call, long sequence, long queuedNanos) {

    static final Comparator<QueuedCall> BY_OBJECTIVE = by(CallDescription::objectiveNanos);
    static final Comparator<QueuedCall> BY_DEADLINE = by(CallDescription::deadlineNanos);

    /** Compares times by their difference, since the monotonic clock may wrap around. */
    private static Comparator<QueuedCall> by(ToLongFunction<CallDescription> time) {
        return (left, right) -> {
            long difference = time.applyAsLong(left.call) - time.applyAsLong(right.call);
            return difference == 0
                    ? Long.compare(left.sequence, right.sequence)
                    : Long.signum(difference);
        };
    }
}
