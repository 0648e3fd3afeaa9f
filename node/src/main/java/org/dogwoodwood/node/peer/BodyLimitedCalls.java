package org.dogwoodwood.node.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.memory.BodyReservation;

/**
 * Passes the attempts of peers to the guard while there is memory for their bodies and refuses
 * others as not run. The bodies of this node's own callers are counted where they are read.
 */
final class BodyLimitedCalls implements CallHandler {

    private final CallHandler guard;
    private final BodyMemory memory;
    private final Map<AttemptId, BodyReservation> reservations = new HashMap<>();

    BodyLimitedCalls(CallHandler guard, BodyMemory memory) {
        this.guard = Objects.requireNonNull(guard, "guard");
        this.memory = Objects.requireNonNull(memory, "memory");
    }

    @Override
    public void onCall(CallFrame frame, Consumer<AttemptAnswer> listener) {
        AttemptId id = frame.id();
        if (reservations.containsKey(id)) {
            guard.onCall(frame, listener);
            return;
        }
        BodyReservation reservation = memory.reservation();
        if (!reservation.tryGrow(frame.request().body().length)) {
            listener.accept(AttemptAnswer.of(FinishedCall.notRun(ErrorCode.GUARD_BUSY), report()));
            return;
        }
        reservations.put(id, reservation);
        guard.onCall(frame, answer -> end(id, answer, listener));
    }

    @Override
    public void onResume(ResumeFrame frame, Consumer<AttemptAnswer> listener) {
        // The guard calls this listener in place of the one that was passed with the call.
        guard.onResume(frame, answer -> end(frame.id(), answer, listener));
    }

    @Override
    public void onCancel(AttemptId id) {
        guard.onCancel(id);
    }

    @Override
    public Optional<LoadReport> report() {
        return guard.report();
    }

    private void end(AttemptId id, AttemptAnswer answer, Consumer<AttemptAnswer> listener) {
        BodyReservation reservation = reservations.remove(id);
        if (reservation != null) {
            reservation.release();
        }
        listener.accept(answer);
    }
}
