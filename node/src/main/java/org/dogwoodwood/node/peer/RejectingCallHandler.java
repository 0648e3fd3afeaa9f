package org.dogwoodwood.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.LoadReport;

/** Rejects all calls; in place until the node's guard is set. */
final class RejectingCallHandler implements CallHandler {

    @Override
    public void onCall(CallFrame frame, Consumer<AttemptAnswer> listener) {
        listener.accept(AttemptAnswer.notRun(ErrorCode.NO_TARGET));
    }

    @Override
    public void onResume(ResumeFrame frame, Consumer<AttemptAnswer> listener) {
        listener.accept(AttemptAnswer.unknown(ErrorCode.OUTCOME_UNKNOWN));
    }

    @Override
    public void onCancel(AttemptId id) {
        // Nothing runs, and a CALL frame that arrives later is refused as well.
    }

    @Override
    public Optional<LoadReport> report() {
        return Optional.empty();
    }
}
