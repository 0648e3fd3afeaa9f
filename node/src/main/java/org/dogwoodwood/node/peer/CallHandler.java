package org.dogwoodwood.node.peer;

import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.LoadReport;

/** Handles the frames that an ingress sends to a guard; used on the traffic loop only. */
public interface CallHandler {

    /**
     * Runs or refuses an attempt.
     *
     * @param frame the attempt, not null
     * @param listener called once with the result, unless a later {@link #onResume} replaces it
     */
    void onCall(CallFrame frame, Consumer<AttemptAnswer> listener);

    /**
     * Resumes an attempt that was sent on a connection that broke.
     *
     * @param frame the attempt, not null
     * @param listener called once with the result
     */
    void onResume(ResumeFrame frame, Consumer<AttemptAnswer> listener);

    /** Cancels an attempt; one that has not arrived yet will not run. */
    void onCancel(AttemptId id);

    /** Returns a new load report, or empty if the node has no target. */
    Optional<LoadReport> report();
}
