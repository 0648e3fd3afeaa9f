package org.dogwoodwood.node.guard;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.dogwoodwood.core.admission.AdmissionController;

/**
 * Polls the target when the speed that it last reported is too old for a decision. Must be used on
 * the traffic loop only.
 *
 * <p>Other load on the VM slows a target for up to a second or more, and work that starts in such a
 * phase stays slow. Therefore a call waits for the answer to one poll if the reported speed is
 * stale, and a slow target is polled again so that the end of the phase is detected soon.
 */
final class SpeedWatch {

    // A small part of a slow phase, so that few calls start in a phase not yet detected.
    private static final long MAX_SPEED_AGE_NANOS = 30_000_000L;
    private static final long MAX_HOLDING_SPEED_AGE_NANOS = 20_000_000L;

    // Peers avoid a target that reported a slow phase until a report shows its end.
    private static final int HOLDING_POLL_DELAY_MILLIS = 80;
    private static final int SLOW_POLL_DELAY_MILLIS = 200;

    private final Vertx vertx;
    private final TargetMonitor monitor;
    private final Supplier<AdmissionController> admission;
    private final Set<GuardedCall> delayed = new LinkedHashSet<>();
    private long delayedSinceNanos;
    private boolean slowPollScheduled;

    SpeedWatch(Vertx vertx, TargetMonitor monitor, Supplier<AdmissionController> admission) {
        this.vertx = vertx;
        this.monitor = monitor;
        this.admission = admission;
    }

    /**
     * Polls the target and delays the call if the reported speed is stale.
     *
     * @return whether the call was added to the delayed calls
     */
    boolean delayIfSpeedIsStale(GuardedCall call, long nowNanos) {
        if (!monitor.isSpeedOlderThan(MAX_SPEED_AGE_NANOS, nowNanos) || !monitor.pollNow()) {
            return false;
        }
        if (delayed.isEmpty()) {
            delayedSinceNanos = nowNanos;
        }
        delayed.add(call);
        return true;
    }

    /** Returns whether calls are delayed until the target reports its speed. */
    boolean isDelaying() {
        return !delayed.isEmpty();
    }

    /** Returns whether calls are delayed for too long because the poll is not answered. */
    boolean isDelayOverdue(long nowNanos) {
        return isDelaying() && nowNanos - delayedSinceNanos > MAX_SPEED_AGE_NANOS;
    }

    /** Removes a call that has ended; returns whether it was delayed. */
    boolean remove(GuardedCall call) {
        return delayed.remove(call);
    }

    /** Removes and returns the delayed calls in the order of their arrival. */
    List<GuardedCall> takeDelayed() {
        List<GuardedCall> taken = List.copyOf(delayed);
        delayed.clear();
        return taken;
    }

    /** Polls the target if admission holds calls until its slow phase ends. */
    void pollIfHolding(long nowNanos) {
        if (admission.get().isHolding(nowNanos)) {
            pollIfStale(nowNanos);
        }
    }

    /** Schedules the next poll after the target has reported that it is slow. */
    void onSlow(long nowNanos) {
        if (slowPollScheduled) {
            return;
        }
        slowPollScheduled = true;
        boolean holding = admission.get().isHolding(nowNanos);
        vertx.setTimer(
                holding ? HOLDING_POLL_DELAY_MILLIS : SLOW_POLL_DELAY_MILLIS,
                ignored -> {
                    slowPollScheduled = false;
                    pollIfStale(System.nanoTime());
                });
    }

    private void pollIfStale(long nowNanos) {
        if (monitor.isSpeedOlderThan(MAX_HOLDING_SPEED_AGE_NANOS, nowNanos)) {
            monitor.pollNow();
        }
    }
}
