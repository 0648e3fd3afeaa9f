package org.dogwoodwood.node.guard;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.dogwoodwood.core.admission.AdmissionController;

/**
 * Keeps the speed that the target tells of itself recent where a decision depends on it; used on
 * the traffic loop only.
 *
 * <p>Neighbours on the VM slow a target for up to a second or more, and work that starts in such a
 * phase stays slow. So a call whose target has not told its speed for a time waits for the answer
 * to one poll, and the end of a phase is noticed soon.
 */
final class SpeedWatch {

    // A small part of a slow phase, so that few calls start in a phase that nobody noticed.
    private static final long FRESH_NANOS = 30_000_000L;
    private static final long HELD_NANOS = 20_000_000L;

    // Peers avoid a target that told them of a slow phase until they hear of its end.
    private static final int SLOW_POLL_MILLIS = 80;
    private static final int STILL_SLOW_POLL_MILLIS = 200;

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

    /** Returns whether a call has to wait until the target has told its speed. */
    boolean delays(GuardedCall call, long nowNanos) {
        if (!monitor.isSpeedOlderThan(FRESH_NANOS, nowNanos) || !monitor.ask()) {
            return false;
        }
        if (delayed.isEmpty()) {
            delayedSinceNanos = nowNanos;
        }
        delayed.add(call);
        return true;
    }

    /** Returns whether calls wait for the target's speed. */
    boolean isDelaying() {
        return !delayed.isEmpty();
    }

    /** Returns whether calls have waited too long for a target that does not answer polls. */
    boolean isOverdue(long nowNanos) {
        return isDelaying() && nowNanos - delayedSinceNanos > FRESH_NANOS;
    }

    /** Forgets a call that has ended; returns whether it was waiting. */
    boolean forget(GuardedCall call) {
        return delayed.remove(call);
    }

    /** Removes and returns the calls that wait, in their order. */
    List<GuardedCall> takeDelayed() {
        List<GuardedCall> taken = List.copyOf(delayed);
        delayed.clear();
        return taken;
    }

    /** Polls the target if calls are held until its slow phase ends. */
    void pollIfHolding(long nowNanos) {
        if (admission.get().isHolding(nowNanos)) {
            pollIfOld(nowNanos);
        }
    }

    /** Takes in that the target has told that it is slow. */
    void onSlow(long nowNanos) {
        if (slowPollScheduled) {
            return;
        }
        slowPollScheduled = true;
        boolean holding = admission.get().isHolding(nowNanos);
        vertx.setTimer(
                holding ? SLOW_POLL_MILLIS : STILL_SLOW_POLL_MILLIS,
                ignored -> {
                    slowPollScheduled = false;
                    pollIfOld(System.nanoTime());
                });
    }

    private void pollIfOld(long nowNanos) {
        if (monitor.isSpeedOlderThan(HELD_NANOS, nowNanos)) {
            monitor.ask();
        }
    }
}
