package org.dogwoodwood.node.guard;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Logs attempts that a guard refuses or that end late or with an error, with the causes. */
final class AttemptLog {

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SERVER_ERROR = 500;

    private final EventLog log;
    private final TargetProtocol protocol;

    AttemptLog(EventLog log, TargetProtocol protocol) {
        this.log = Objects.requireNonNull(log, "log");
        this.protocol = Objects.requireNonNull(protocol, "protocol");
    }

    /** Logs the end of an attempt, unless the target answered in time and without an error. */
    void write(
            GuardedCall call,
            FinishedCall finished,
            TargetState state,
            AdmissionController admission,
            long nowNanos) {
        Optional<LogEvent> event = eventOf(call, finished, nowNanos);
        if (event.isEmpty()) {
            return;
        }
        log.write(
                event.get(),
                "request",
                protocol.requestIdOf(call.frame()).orElseGet(() -> call.id().call().toString()),
                "ingress",
                call.id().call().ingress(),
                "class",
                call.description().callClass(),
                "account",
                call.description().account().orElse(""),
                "depth",
                call.description().depth(),
                "attempt",
                call.id().attempt(),
                finished.error().isPresent() ? "error" : "status",
                finished.error().isPresent()
                        ? finished.error().get()
                        : finished.answer().orElseThrow().status(),
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
                "slowdown_at_start",
                call.startConditions().slowdown(),
                "speed_age_at_start_ms",
                call.startConditions().speedAgeNanos() / NANOS_PER_MILLI,
                "in_flight_at_start",
                call.startConditions().inFlight(),
                "wait_ms",
                call.waitNanos(nowNanos) / NANOS_PER_MILLI,
                "service_ms",
                call.isAdmitted() ? call.serviceTimeNanos(nowNanos) / NANOS_PER_MILLI : 0,
                "left_ms",
                (call.description().deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
    }

    private static Optional<LogEvent> eventOf(
            GuardedCall call, FinishedCall finished, long nowNanos) {
        if (finished.error().isPresent()) {
            return Optional.of(
                    finished.outcome() == Outcome.NOT_RUN
                            ? LogEvent.GUARD_REFUSED
                            : LogEvent.GUARD_ENDED);
        }
        boolean late = call.description().objectiveNanos() - nowNanos < 0;
        boolean failed = finished.answer().orElseThrow().status() >= SERVER_ERROR;
        return late || failed ? Optional.of(LogEvent.GUARD_ANSWERED) : Optional.empty();
    }
}
