package org.dogwoodwood.node.guard;

import java.util.Optional;
import java.util.function.Supplier;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RoutingTable;

/** Conditions that are checked when a call arrives and again immediately before it starts. */
final class StartChecks {

    private final Supplier<RoutingTable> routing;
    private final CrashWatch crashWatch;

    StartChecks(Supplier<RoutingTable> routing, CrashWatch crashWatch) {
        this.routing = routing;
        this.crashWatch = crashWatch;
    }

    /**
     * Returns why a call may not start now, or empty if it may start.
     *
     * @param call the call, not null
     * @param state the state of the target, not null
     * @param nowNanos the present time on the monotonic clock, in nanoseconds
     */
    Optional<ErrorCode> refusal(CallDescription call, TargetState state, long nowNanos) {
        RoutingTable table = routing.get();
        if (call.deadlineNanos() - nowNanos <= 0) {
            return Optional.of(ErrorCode.DEADLINE_TOO_SHORT);
        }
        if (!state.acceptsWork()) {
            boolean down = state == TargetState.DOWN;
            return Optional.of(down ? ErrorCode.NO_TARGET : ErrorCode.TARGET_DRAINING);
        }
        if (table.ownDataCentreOut()) {
            return Optional.of(ErrorCode.DATA_CENTRE_OUT);
        }
        if (isLapsed(table.ownLeaseExpiryNanos(), nowNanos)) {
            return Optional.of(ErrorCode.LEASE_LAPSED);
        }
        return crashWatch.refusal(call, table, nowNanos);
    }

    // Long.MAX_VALUE means "no peers" and Long.MIN_VALUE "nothing known yet"; neither is a time.
    private static boolean isLapsed(long leaseExpiryNanos, long nowNanos) {
        if (leaseExpiryNanos == Long.MAX_VALUE) {
            return false;
        }
        return leaseExpiryNanos == Long.MIN_VALUE || leaseExpiryNanos - nowNanos <= 0;
    }
}
