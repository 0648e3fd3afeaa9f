package org.dogwoodwood.node.guard;

import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.node.peer.AttemptAnswer;

/** An attempt that the guard has accepted and that has not ended. */
final class GuardedCall {

    private final CallFrame frame;
    private final CallDescription description;
    private final boolean keyed;
    private Consumer<AttemptAnswer> listener;
    private Optional<TargetExchange> exchange = Optional.empty();
    private final long arrivedNanos;
    private boolean admitted;
    private long startedNanos;
    private StartConditions startConditions = StartConditions.NOT_STARTED;

    GuardedCall(
            CallFrame frame,
            CallDescription description,
            boolean keyed,
            Consumer<AttemptAnswer> listener,
            long arrivedNanos) {
        this.frame = frame;
        this.description = description;
        this.keyed = keyed;
        this.listener = listener;
        this.arrivedNanos = arrivedNanos;
    }

    AttemptId id() {
        return frame.id();
    }

    CallFrame frame() {
        return frame;
    }

    CallDescription description() {
        return description;
    }

    /** Returns whether the idempotency registry waits for the end of this attempt. */
    boolean isKeyed() {
        return keyed;
    }

    void replaceListener(Consumer<AttemptAnswer> next) {
        listener = next;
    }

    void answer(AttemptAnswer answer) {
        listener.accept(answer);
    }

    /**
     * Records that admission counts the attempt as in flight.
     *
     * @param conditions what the guard knows about the target at this time, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
     */
    void onAdmitted(StartConditions conditions, long nowNanos) {
        admitted = true;
        startedNanos = nowNanos;
        startConditions = conditions;
    }

    boolean isAdmitted() {
        return admitted;
    }

    void onStarted(TargetExchange started) {
        exchange = Optional.of(started);
    }

    Optional<TargetExchange> exchange() {
        return exchange;
    }

    /** Returns what the guard knew about the target when the attempt was admitted. */
    StartConditions startConditions() {
        return startConditions;
    }

    /** Returns how long the attempt waited, until now if it has not started, in nanoseconds. */
    long waitNanos(long nowNanos) {
        return (admitted ? startedNanos : nowNanos) - arrivedNanos;
    }

    long serviceTimeNanos(long nowNanos) {
        return Math.max(0, nowNanos - startedNanos);
    }
}
