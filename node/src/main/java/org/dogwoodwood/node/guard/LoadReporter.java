package org.dogwoodwood.node.guard;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.TargetState;
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
     * Returns the next report, or empty if the node has no target.
     *
     * @param state the state of the target that is reported to peers, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
     */
    Optional<LoadReport> next(TargetState state, long nowNanos) {
        if (monitor.announcement().isEmpty()) {
            return Optional.empty();
        }
        AdmissionController current = admission.get();
        sequence++;
        return Optional.of(
                new LoadReport(
                        identity.node(),
                        identity.incarnation(),
                        sequence,
                        current.inFlight(),
                        current.queued(),
                        current.limit(),
                        monitor.slots(),
                        current.serviceTimeNanos(nowNanos) / NANOS_PER_MICRO,
                        current.errorRatio(),
                        state,
                        current.slowdown(nowNanos)));
    }
}
