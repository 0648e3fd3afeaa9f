package org.dogwoodwood.node.guard;

import java.util.Objects;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Logs the attempts that a guard ends without an answer of its target, and what decided it. */
final class AttemptLog {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EventLog log;
    private final TargetProtocol protocol;

    AttemptLog(EventLog log, TargetProtocol protocol) {
        this.log = Objects.requireNonNull(log, "log");
        this.protocol = Objects.requireNonNull(protocol, "protocol");
    }

    /** Writes the end of an attempt that has an error. */
    void write(
            GuardedCall call,
            FinishedCall finished,
            TargetState state,
            AdmissionController admission,
            long nowNanos) {
        boolean refused = finished.outcome() == Outcome.NOT_RUN;
        log.write(
                refused ? LogEvent.GUARD_REFUSED : LogEvent.GUARD_ENDED,
                "request",
                protocol.requestIdOf(call.frame()).orElseGet(() -> call.id().call().toString()),
                "ingress",
                call.id().call().ingress(),
                "attempt",
                call.id().attempt(),
                "error",
                finished.error().orElseThrow(),
                "state",
                state,
                "in_flight",
                admission.inFlight(),
                "queued",
                admission.queued(),
                "limit",
                admission.limit(),
                "slowdown",
                admission.slowdown(nowNanos),
                "left_ms",
                (call.description().deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
    }
}
