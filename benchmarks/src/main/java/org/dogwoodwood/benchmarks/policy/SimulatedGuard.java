package org.dogwoodwood.benchmarks.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dogwoodwood.benchmarks.simulation.SimulatedTarget;
import org.dogwoodwood.benchmarks.simulation.Simulation;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.admission.DefaultAdmissionController;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;

/** A guard: the admission control of this project in front of one simulated target. */
final class SimulatedGuard {

    private static final int CONNECTIONS = 240;
    private static final long TICK_NANOS = 20_000_000;
    private static final long QUEUE_TICK_NANOS = 5_000_000;
    private static final long RECENT_INGRESS_NANOS = 500_000_000;
    private static final long POLL_INTERVAL_NANOS = 250_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final Simulation simulation;
    private final NodeId id;
    private final SimulatedTarget target;
    private final PolicyDefinition policy;
    private final MeasurementBudget pollBudget = MeasurementBudget.withDefaults(0);
    private final Map<AttemptId, PendingAttempt> queued = new HashMap<>();
    private final Map<AttemptId, SimulatedTarget.RunningCall> running = new HashMap<>();
    private final Map<Integer, Long> lastCallByIngress = new TreeMap<>();
    private final SimulatedSpeedMonitor speedMonitor;
    private AdmissionController admission;
    private long incarnation = 1;
    private long sequence;
    private boolean dataCentreOut;
    private long nextPollNanos;
    private boolean queueTickScheduled;

    SimulatedGuard(
            Simulation simulation, NodeId id, SimulatedTarget target, PolicyDefinition policy) {
        this.simulation = simulation;
        this.id = id;
        this.target = target;
        this.policy = policy;
        this.admission = newAdmission(false);
        this.speedMonitor =
                new SimulatedSpeedMonitor(simulation, target, () -> admission, this::startQueued);
        simulation.events().scheduleAfter(TICK_NANOS, this::tick);
    }

    /**
     * The answer to an attempt.
     *
     * @param refusal the reason if the attempt was refused, empty if the target answered
     * @param report the load report sent with the answer
     */
    record Answer(Optional<ErrorCode> refusal, LoadReport report) {}

    /** An attempt that has not been answered yet. */
    private record PendingAttempt(
            CallDescription call, double demandNanos, Consumer<Answer> onAnswer) {}

    private record AttemptId(CallId call, int attempt) {}

    void offer(int ingress, CallDescription call, double demandNanos, Consumer<Answer> onAnswer) {
        lastCallByIngress.put(ingress, now());
        if (dataCentreOut) {
            onAnswer.accept(new Answer(Optional.of(ErrorCode.DATA_CENTRE_OUT), report()));
            return;
        }
        speedMonitor.pollUnlessFresh();
        PendingAttempt attempt = new PendingAttempt(call, demandNanos, onAnswer);
        AdmissionDecision decision = admission.offer(call, now());
        switch (decision.kind()) {
            case START -> start(attempt);
            case QUEUE -> {
                queued.put(attemptId(call), attempt);
                scheduleQueueTick();
            }
            case REFUSE -> onAnswer.accept(new Answer(decision.refusal(), report()));
            default -> throw new AssertionError(decision.kind());
        }
    }

    void cancel(CallId call, int attempt) {
        AttemptId attemptId = new AttemptId(call, attempt);
        if (admission.cancelQueued(call, attempt)) {
            queued.remove(attemptId);
            return;
        }
        SimulatedTarget.RunningCall runningCall = running.remove(attemptId);
        if (runningCall != null) {
            target.cancel(runningCall);
            admission.onCancelled(call, attempt, now());
            startQueued();
        }
    }

    /** Takes the data centre of this guard out, or returns it with a cold target. */
    void setDataCentreOut(boolean newOut) {
        dataCentreOut = newOut;
        if (!dataCentreOut) {
            incarnation++;
            sequence = 0;
            admission = newAdmission(true);
        }
    }

    /** Returns a new load report with the next sequence number. */
    LoadReport report() {
        boolean cold = target.isCold();
        return new LoadReport(
                id,
                incarnation,
                ++sequence,
                admission.inFlight(),
                admission.queued(),
                admission.limit(),
                target.slots(),
                admission.serviceTimeNanos(now()) / NANOS_PER_MICRO,
                admission.errorRatio(),
                cold ? TargetState.COLD : TargetState.WARM,
                admission.slowdown(now()),
                0);
    }

    /** Returns the indices of the ingress nodes that have sent a call recently. */
    List<Integer> recentIngresses() {
        lastCallByIngress.values().removeIf(nanos -> now() - nanos > RECENT_INGRESS_NANOS);
        return List.copyOf(lastCallByIngress.keySet());
    }

    /** Sets the listener to run when the target has become slow or has recovered. */
    void setSpeedListener(Runnable listener) {
        speedMonitor.setChangeListener(listener);
    }

    private void scheduleQueueTick() {
        if (target.reportsSlowdown() && !queueTickScheduled) {
            queueTickScheduled = true;
            simulation
                    .events()
                    .scheduleAfter(
                            QUEUE_TICK_NANOS,
                            () -> {
                                queueTickScheduled = false;
                                startQueued();
                                if (admission.queued() > 0) {
                                    scheduleQueueTick();
                                }
                            });
        }
    }

    private void start(PendingAttempt attempt) {
        pollBudget.onCall();
        AttemptId attemptId = attemptId(attempt.call);
        long startNanos = now();
        running.put(
                attemptId,
                target.start(attempt.demandNanos, () -> finish(attempt, attemptId, startNanos)));
    }

    private void finish(PendingAttempt attempt, AttemptId attemptId, long startNanos) {
        running.remove(attemptId);
        long now = now();
        admission.onEnded(attemptId.call, attemptId.attempt, now - startNanos, false, now);
        speedMonitor.onSlowdownReported();
        startQueued();
        attempt.onAnswer.accept(new Answer(Optional.empty(), report()));
    }

    private void startQueued() {
        Optional<CallDescription> next = admission.nextStartable(now());
        while (next.isPresent()) {
            start(queued.remove(attemptId(next.get())));
            next = admission.nextStartable(now());
        }
        refuseExpired();
        for (CallDescription call : admission.removeMovable(now())) {
            queued.remove(attemptId(call))
                    .onAnswer
                    .accept(new Answer(Optional.of(ErrorCode.GUARD_BUSY), report()));
        }
    }

    private void refuseExpired() {
        for (CallDescription call : admission.removeExpired(now())) {
            queued.remove(attemptId(call))
                    .onAnswer
                    .accept(new Answer(Optional.of(ErrorCode.DEADLINE_TOO_SHORT), report()));
        }
    }

    private void tick() {
        if (now() >= nextPollNanos && pollBudget.tryPoll(now())) {
            nextPollNanos = now() + POLL_INTERVAL_NANOS;
            simulation.measurements().onPoll(now());
            admission.onCapacity(capacity(target.isCold()), now());
        }
        startQueued();
        if (now() < simulation.scenario().endNanos() || admission.queued() > 0) {
            simulation.events().scheduleAfter(TICK_NANOS, this::tick);
        }
    }

    private AdmissionController newAdmission(boolean cold) {
        return DefaultAdmissionController.create(policy, Map.of(), capacity(cold), now());
    }

    private TargetCapacity capacity(boolean cold) {
        return new TargetCapacity(
                target.slots(), CONNECTIONS, policy.coldSlots(), cold, incarnation);
    }

    private static AttemptId attemptId(CallDescription call) {
        return new AttemptId(call.id(), call.attempt());
    }

    private long now() {
        return simulation.events().nowNanos();
    }
}
