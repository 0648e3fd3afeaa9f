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
 * The calls of a guard that have not started: those that wait until the target has told its speed,
 * and those that wait for a slot. Used on the traffic loop only.
 */
final class WaitingCalls {

    /** What becomes of a call that no longer waits. */
    interface Listener {

        /** Admission counts the call as in flight from here on. */
        void onAdmitted(GuardedCall call, long nowNanos);

        /** The call is refused and was not run. */
        void onRefused(GuardedCall call, ErrorCode code);
    }

    /** Checks whether a call may still start. */
    interface StartCheck {

        /** Returns why the call must not start, or empty if it may. */
        Optional<ErrorCode> refusal(GuardedCall call, long nowNanos);
    }

    private static final int TICK_MILLIS = 5;

    private final Vertx vertx;
    private final AdmissionHolder admission;
    private final SpeedWatch speeds;
    private final StartCheck check;
    private final Listener listener;
    private final Map<AttemptId, GuardedCall> queued = new HashMap<>();
    private boolean tickScheduled;

    WaitingCalls(
            Vertx vertx,
            AdmissionHolder admission,
            SpeedWatch speeds,
            StartCheck check,
            Listener listener) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.admission = Objects.requireNonNull(admission, "admission");
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.check = Objects.requireNonNull(check, "check");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Takes a call, which starts, waits or is refused. */
    void add(GuardedCall call, long nowNanos) {
        if (speeds.delays(call, nowNanos)) {
            scheduleTick();
        } else {
            offer(call, nowNanos);
        }
    }

    /** Forgets a call that has not started; returns whether it was waiting. */
    boolean forget(GuardedCall call) {
        if (speeds.forget(call)) {
            return true;
        }
        boolean cancelled = admission.get().cancelQueued(call.id().call(), call.id().attempt());
        if (cancelled) {
            queued.remove(call.id());
        }
        return cancelled;
    }

    /** Takes in that a poll of the target has ended. */
    void onPolled() {
        offerDelayed();
        startQueued(System.nanoTime());
    }

    /** Starts queued calls as far as there are slots, and ends those that should wait no longer. */
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
            // startQueued starts it when a slot is free, or ends it when its time is over.
            default -> {
                queued.put(call.id(), call);
                scheduleTick();
            }
        }
    }

    private void offerDelayed() {
        long nowNanos = System.nanoTime();
        for (GuardedCall call : speeds.takeDelayed()) {
            Optional<ErrorCode> refusal = check.refusal(call, nowNanos);
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
        if (speeds.isOverdue(nowNanos)) {
            offerDelayed();
        }
        if (admission.get().queued() > 0) {
            speeds.pollIfHolding(nowNanos);
            startQueued(nowNanos);
        }
        if (speeds.isDelaying() || admission.get().queued() > 0) {
            scheduleTick();
        }
    }
}
