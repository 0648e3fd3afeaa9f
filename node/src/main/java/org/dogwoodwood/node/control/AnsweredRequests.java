package org.dogwoodwood.node.control;

import java.util.Objects;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.health.RecentAnswers;

/**
 * Knows the requests that targets have answered, and reports that when they are suspect. Must be
 * used on the traffic loop only.
 */
public final class AnsweredRequests {

    private final ControlPlane control;
    private final RecentAnswers recentAnswers = RecentAnswers.create();

    private AnsweredRequests(ControlPlane control) {
        this.control = Objects.requireNonNull(control, "control");
    }

    /** Returns an object that knows no answers. */
    public static AnsweredRequests create(ControlPlane control) {
        return new AnsweredRequests(control);
    }

    /** Records that a target answered a request, which clears it if it is suspect. */
    public void onAnswered(long fingerprint, long nowNanos) {
        recentAnswers.add(fingerprint, nowNanos);
        if (control.routingTable().suspicions().containsKey(fingerprint)) {
            control.reportAnswered(fingerprint, 0);
        }
    }

    /** Reports the last answer to a request that was in flight at a crash. */
    public void onCrash(long fingerprint, long nowNanos) {
        reportLastAnswer(fingerprint, nowNanos);
    }

    /** Reports the last answer to a request that is refused, unless an answer is known. */
    public void onBlocked(long fingerprint, long nowNanos) {
        CrashSuspicion suspicion = control.routingTable().suspicions().get(fingerprint);
        if (suspicion != null && !suspicion.answeredBefore()) {
            reportLastAnswer(fingerprint, nowNanos);
        }
    }

    private void reportLastAnswer(long fingerprint, long nowNanos) {
        recentAnswers
                .ageNanos(fingerprint, nowNanos)
                .ifPresent(age -> control.reportAnswered(fingerprint, age));
    }
}
