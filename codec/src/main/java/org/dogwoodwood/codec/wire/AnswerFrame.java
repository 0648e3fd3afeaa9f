package org.dogwoodwood.codec.wire;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.LoadReport;

/**
 * Reports the outcome of an attempt to its ingress.
 *
 * @param id the attempt
 * @param finished the outcome, with the complete answer of the target if there is one
 * @param report the load report of the sender's guard, empty if it has no target
 */
public record AnswerFrame(AttemptId id, FinishedCall finished, Optional<LoadReport> report)
        implements Frame {

    public static final int TYPE = 5;

    /** Checks that the references are present. */
    public AnswerFrame {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(finished, "finished");
        Objects.requireNonNull(report, "report");
    }

    /** Returns an answer with the given parts. */
    public static AnswerFrame of(AttemptId id, FinishedCall finished, Optional<LoadReport> report) {
        return new AnswerFrame(id, finished, report);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
