package org.dogwoodwood.node.guard;

import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.TargetAnswer;

/**
 * The result of an exchange with the target.
 *
 * @param finished the result that is sent to the ingress
 * @param kind what the result implies for the state of the target
 * @param load the load that the target reported with its answer, or empty if it reported none
 */
record TargetResult(FinishedCall finished, Kind kind, Optional<ReportedLoad> load) {

    private static final int SERVER_ERROR = 500;

    /** The ways in which an exchange ends. */
    enum Kind {
        /** The target answered. */
        ANSWERED,
        /** The target refused the call and did not run it. */
        REFUSED,
        /** Another process than the expected one answered; the call did not run. */
        MISDIRECTED,
        /** No connection could be opened; nothing was sent. */
        CONNECT_FAILED,
        /** The connection was lost before anything was sent, as happens when the target is full. */
        CONNECTION_LOST,
        /** The connection broke after the request was sent. */
        BROKEN,
        /** The guard ended the exchange. */
        ABORTED
    }

    static TargetResult answered(TargetAnswer answer) {
        return of(FinishedCall.answered(answer), Kind.ANSWERED);
    }

    static TargetResult refused() {
        return of(FinishedCall.notRun(ErrorCode.TARGET_REFUSED), Kind.REFUSED);
    }

    static TargetResult misdirected() {
        return of(FinishedCall.notRun(ErrorCode.TARGET_REFUSED), Kind.MISDIRECTED);
    }

    static TargetResult connectFailed() {
        return of(FinishedCall.notRun(ErrorCode.NO_TARGET), Kind.CONNECT_FAILED);
    }

    static TargetResult connectionLost() {
        return of(FinishedCall.notRun(ErrorCode.NO_TARGET), Kind.CONNECTION_LOST);
    }

    static TargetResult broken() {
        return of(FinishedCall.unknown(ErrorCode.TARGET_FAILED), Kind.BROKEN);
    }

    static TargetResult aborted(FinishedCall finished) {
        return of(finished, Kind.ABORTED);
    }

    TargetResult withLoad(Optional<ReportedLoad> newLoad) {
        return new TargetResult(finished, kind, newLoad);
    }

    private static TargetResult of(FinishedCall finished, Kind kind) {
        return new TargetResult(finished, kind, Optional.empty());
    }

    /** Returns whether the end counts as a failure of the target. */
    boolean isFailure() {
        return switch (kind) {
            case ANSWERED ->
                    finished.answer().map(answer -> answer.status() >= SERVER_ERROR).orElse(true);
            case CONNECT_FAILED, CONNECTION_LOST, BROKEN, REFUSED, MISDIRECTED -> true;
            case ABORTED -> finished.error().orElse(null) == ErrorCode.DEADLINE_EXCEEDED;
        };
    }
}
