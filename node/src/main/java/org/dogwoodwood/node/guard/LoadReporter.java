package org.dogwoodwood.node.guard;

import java.util.Objects;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.node.peer.PeerIdentity;

/** Creates the load reports of a guard and assigns their sequence numbers. */
final class LoadReporter {

    private static final long NANOS_PER_MICRO = 1_000L;

    private final PeerIdentity identity;
    private final TargetMonitor monitor;
    private final AdmissionHolder admission;
    private long sequence;

    LoadReporter(PeerIdentity identity, TargetMonitor monitor, AdmissionHolder admission) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.monitor = Objects.requireNonNull(monitor, "monitor");
        this.admission = Objects.requireNonNull(admission, "admission");
    }

    /**
     * Returns the next report.
     *
     * @param target the target as it is announced to peers, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
     */
    LoadReport next(MemberTarget target, long nowNanos) {
        AdmissionController current = admission.get();
        sequence++;
        return new LoadReport(
                identity.node(),
                identity.incarnation(),
                sequence,
                current.inFlight(),
                current.queued(),
                current.limit(),
                monitor.slots(),
                current.serviceTimeNanos(nowNanos) / NANOS_PER_MICRO,
                current.errorRatio(),
                target.state(),
                current.slowdown(nowNanos),
                target.stateVersion());
    }
}
