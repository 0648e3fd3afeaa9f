package org.dogwoodwood.node.guard;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallDescription;

/**
 * The calls of a guard that have not started: delayed calls, which wait until the target reports
 * its speed, and queued calls, which wait for a slot. Must be used on the traffic loop only.
 */
final class WaitingCalls {

    /** Receives the calls that no longer wait. */
    interface Listener {

        /** The call was admitted and counts as in flight. */
        void onAdmitted(GuardedCall call, long nowNanos);

        /** The call is refused and was not run. */
        void onRefused(GuardedCall call, ErrorCode code);
    }

    /** Checks whether a call may still start. */
    interface StartCheck {

        /** Returns why the call must not start, or empty if it may start. */
        Optional<ErrorCode> refusal(GuardedCall call, long nowNanos);
    }

    private static final int TICK_MILLIS = 5;

    private final Vertx vertx;
    private final AdmissionHolder admission;
    private final SpeedWatch speedWatch;
    private final StartCheck startCheck;
    private final Listener listener;
    private final Map<AttemptId, GuardedCall> queued = new HashMap<>();
    private boolean tickScheduled;

    WaitingCalls(
            Vertx vertx,
            AdmissionHolder admission,
            SpeedWatch speedWatch,
            StartCheck startCheck,
            Listener listener) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.admission = Objects.requireNonNull(admission, "admission");
        this.speedWatch = Objects.requireNonNull(speedWatch, "speedWatch");
        this.startCheck = Objects.requireNonNull(startCheck, "startCheck");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Adds a call, which starts, waits or is refused. */
    void add(GuardedCall call, long nowNanos) {
        if (speedWatch.delayIfSpeedIsStale(call, nowNanos)) {
            scheduleTick();
        } else {
            offer(call, nowNanos);
        }
    }

    /** Removes a call that has not started; returns whether it was waiting. */
    boolean remove(GuardedCall call) {
        if (speedWatch.remove(call)) {
            return true;
        }
        boolean cancelled = admission.get().cancelQueued(call.id().call(), call.id().attempt());
        if (cancelled) {
            queued.remove(call.id());
        }
        return cancelled;
    }

    /** Offers the delayed calls and starts queued ones after a poll of the target has ended. */
    void onPollEnded() {
        offerDelayed();
        startQueued(System.nanoTime());
    }

    /** Starts queued calls while slots are free, and refuses those that must not wait longer. */
    void startQueued(long nowNanos) {
        AdmissionController current = admission.get();
        Optional<CallDescription> next = current.nextStartable(nowNanos);
        while (next.isPresent()) {
            listener.onAdmitted(removeQueued(next.get()), nowNanos);
            next = admission.get().nextStartable(nowNanos);
        }
        refuseQueued(admission.get().removeExpired(nowNanos), ErrorCode.DEADLINE_TOO_SHORT);
        refuseQueued(admission.get().removeMovable(nowNanos), ErrorCode.GUARD_BUSY);
    }

    private void offer(GuardedCall call, long nowNanos) {
        AdmissionDecision decision = admission.get().offer(call.description(), nowNanos);
        switch (decision.kind()) {
            case START -> listener.onAdmitted(call, nowNanos);
            case REFUSE -> listener.onRefused(call, decision.refusal().get());
            // startQueued starts the call when a slot is free, or refuses it when it must not wait
            // longer.
            default -> {
                queued.put(call.id(), call);
                scheduleTick();
            }
        }
    }

    private void offerDelayed() {
        long nowNanos = System.nanoTime();
        for (GuardedCall call : speedWatch.takeDelayed()) {
            Optional<ErrorCode> refusal = startCheck.refusal(call, nowNanos);
            if (refusal.isPresent()) {
                listener.onRefused(call, refusal.get());
            } else {
                offer(call, nowNanos);
            }
        }
    }

    private void refuseQueued(List<CallDescription> removed, ErrorCode code) {
        for (CallDescription call : removed) {
            listener.onRefused(removeQueued(call), code);
        }
    }

    private GuardedCall removeQueued(CallDescription call) {
        return queued.remove(AttemptId.of(call.id(), call.attempt()));
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            vertx.setTimer(TICK_MILLIS, ignored -> tick());
        }
    }

    private void tick() {
        tickScheduled = false;
        long nowNanos = System.nanoTime();
        if (speedWatch.isDelayOverdue(nowNanos)) {
            offerDelayed();
        }
        if (admission.get().queued() > 0) {
            speedWatch.pollIfHolding(nowNanos);
            startQueued(nowNanos);
        }
        if (speedWatch.isDelaying() || admission.get().queued() > 0) {
            scheduleTick();
        }
    }
}
