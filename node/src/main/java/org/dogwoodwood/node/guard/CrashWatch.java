package org.dogwoodwood.node.guard;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.health.CrashTrials;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.control.AnsweredRequests;
import org.dogwoodwood.node.control.ControlPlane;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/**
 * Relates the calls of a guard to crashes of its target: refuses blocked requests or tries them,
 * and reports what crashes and answers show about requests.
 */
final class CrashWatch {

    private final ControlPlane control;
    private final EventLog log;
    private final CrashTrials trials;
    private final SuspectRequests suspectRequests = new SuspectRequests();
    private final AnsweredRequests answeredRequests;

    CrashWatch(NodeId self, ControlPlane control, EventLog log) {
        this.log = Objects.requireNonNull(log, "log");
        this.control = Objects.requireNonNull(control, "control");
        this.trials = CrashTrials.create(self);
        this.answeredRequests = AnsweredRequests.create(control);
    }

    /** Returns why a call may not run because of earlier crashes, or empty if it may. */
    Optional<ErrorCode> refusal(CallDescription call, RoutingTable table, long nowNanos) {
        Optional<CrashSuspicion> blocked = table.blocked(call.service(), call.fingerprint());
        if (blocked.isEmpty()) {
            return Optional.empty();
        }
        return trials.refusal(
                call,
                blocked.get(),
                table.crashPolicy(call.service()),
                table.acceptingNodes(call.service()),
                nowNanos);
    }

    /** Records that a call starts at the target. */
    void onStart(CallDescription call, long nowNanos) {
        if (control.routingTable().blocked(call.service(), call.fingerprint()).isPresent()) {
            trials.begin(call, nowNanos);
            log.write(
                    LogEvent.TRIAL_STARTED,
                    "fingerprint",
                    Long.toHexString(call.fingerprint()),
                    "ingress",
                    call.id().ingress());
        }
    }

    /** Records how a call ended. */
    void onResult(CallDescription call, TargetResult.Kind kind, long nowNanos) {
        boolean broken = kind == TargetResult.Kind.BROKEN;
        if (broken) {
            suspectRequests.add(call.fingerprint(), nowNanos);
        }
        if (trials.isOnTrial(call)) {
            trials.end(call, broken, nowNanos);
            String fingerprint = Long.toHexString(call.fingerprint());
            log.write(LogEvent.TRIAL_ENDED, "fingerprint", fingerprint, "result", kind);
        }
        if (kind == TargetResult.Kind.ANSWERED) {
            answeredRequests.onAnswered(call.fingerprint(), nowNanos);
        }
    }

    /** Reports a crash of the target, with the requests that were in flight. */
    void onCrash(long nowNanos) {
        Set<Long> inFlight = suspectRequests.take(nowNanos);
        control.reportCrash(inFlight, trials.onCrash(inFlight, nowNanos));
        inFlight.forEach(fingerprint -> answeredRequests.onCrash(fingerprint, nowNanos));
    }
}
