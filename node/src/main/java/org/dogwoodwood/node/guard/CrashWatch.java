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
import org.dogwoodwood.node.control.ControlPlane;

/**
 * Relates the calls of a guard to crashes of its target: refuses blocked requests or tries them,
 * and reports what crashes and answers show about requests.
 */
final class CrashWatch {

    private final ControlPlane control;
    private final CrashTrials trials;
    private final SuspectRequests suspectRequests = new SuspectRequests();

    CrashWatch(NodeId self, ControlPlane control) {
        this.control = Objects.requireNonNull(control, "control");
        this.trials = CrashTrials.create(self);
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
    void onStart(CallDescription call) {
        if (control.routingTable().blocked(call.service(), call.fingerprint()).isPresent()) {
            trials.begin(call);
        }
    }

    /** Records how a call ended. */
    void onResult(CallDescription call, TargetResult.Kind kind, long nowNanos) {
        boolean broken = kind == TargetResult.Kind.BROKEN;
        if (broken) {
            suspectRequests.add(call.fingerprint(), nowNanos);
        }
        trials.end(call, broken, nowNanos);
        boolean suspect = control.routingTable().suspicions().containsKey(call.fingerprint());
        if (kind == TargetResult.Kind.ANSWERED && suspect) {
            control.reportCleared(Set.of(call.fingerprint()));
        }
    }

    /** Reports the requests that were in flight at a crash of the target. */
    void onCrash(long nowNanos) {
        Set<Long> inFlight = suspectRequests.take(nowNanos);
        Optional<Long> tried = trials.onCrash(inFlight);
        if (tried.isPresent()) {
            control.reportTrialCrash(tried.get());
        } else if (!inFlight.isEmpty()) {
            control.reportCrash(inFlight);
        }
    }
}
