package org.dogwoodwood.node.peer;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.LoadReport;

/**
 * The result of an attempt, as received by its ingress.
 *
 * @param finished the result of the attempt
 * @param report the load report of the guard, empty if the guard did not answer
 */
public record AttemptAnswer(FinishedCall finished, Optional<LoadReport> report) {

    /** Checks that the references are present. */
    public AttemptAnswer {
        Objects.requireNonNull(finished, "finished");
        Objects.requireNonNull(report, "report");
    }

    /** Returns an answer with the given parts. */
    public static AttemptAnswer of(FinishedCall finished, Optional<LoadReport> report) {
        return new AttemptAnswer(finished, report);
    }

    /** Returns the result of an attempt that did not reach a guard. */
    public static AttemptAnswer notRun(ErrorCode code) {
        return of(FinishedCall.notRun(code), Optional.empty());
    }

    /** Returns the result of an attempt whose guard did not report the outcome. */
    public static AttemptAnswer unknown(ErrorCode code) {
        return of(FinishedCall.unknown(code), Optional.empty());
    }
}
