package org.dogwoodwood.benchmarks.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.dogwoodwood.benchmarks.simulation.SimulatedTarget;
import org.dogwoodwood.benchmarks.simulation.World;
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

/** A guard: the project's admission in front of one fake target. */
final class SimulatedGuard {

    private static final int CONNECTIONS = 240;
    private static final long TICK_NANOS = 20_000_000;
    private static final long QUEUE_TICK_NANOS = 5_000_000;
    private static final long RECENT_NANOS = 500_000_000;
    private static final long POLL_INTERVAL_NANOS = 250_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final World world;
    private final NodeId id;
    private final SimulatedTarget target;
    private final PolicyDefinition policy;
    private final MeasurementBudget polls = MeasurementBudget.withDefaults(0);
    private final Map<AttemptId, Waiting> waiting = new HashMap<>();
    private final Map<AttemptId, SimulatedTarget.Run> running = new HashMap<>();
    private final Map<Integer, Long> lastCallByIngress = new TreeMap<>();
    private final SimulatedSpeedWatch speeds;
    private AdmissionController admission;
    private long incarnation = 1;
    private long sequence;
    private boolean out;
    private long nextPollNanos;
    private boolean queueTickScheduled;

    SimulatedGuard(World world, NodeId id, SimulatedTarget target, PolicyDefinition policy) {
        this.world = world;
        this.id = id;
        this.target = target;
        this.policy = policy;
        this.admission = newAdmission(false);
        this.speeds = new SimulatedSpeedWatch(world, target, () -> admission, this::startWaiting);
        world.events().after(TICK_NANOS, this::tick);
    }

    /** The answer to an attempt. */
    record Answer(Optional<ErrorCode> refusal, LoadReport report) {}

    /** An attempt that has arrived. */
    private record Waiting(CallDescription call, double demandNanos, Consumer<Answer> onAnswer) {}

    private record AttemptId(CallId call, int attempt) {}

    void offer(int from, CallDescription call, double demandNanos, Consumer<Answer> onAnswer) {
        lastCallByIngress.put(from, now());
        if (out) {
            onAnswer.accept(new Answer(Optional.of(ErrorCode.DATA_CENTRE_OUT), report()));
            return;
        }
        speeds.askUnlessFresh();
        Waiting arrived = new Waiting(call, demandNanos, onAnswer);
        AdmissionDecision decision = admission.offer(call, now());
        switch (decision.kind()) {
            case START -> start(arrived);
            case QUEUE -> {
                waiting.put(attemptId(call), arrived);
                scheduleQueueTick();
            }
            case REFUSE -> onAnswer.accept(new Answer(decision.refusal(), report()));
            default -> throw new AssertionError(decision.kind());
        }
    }

    void cancel(CallId call, int attempt) {
        AttemptId attemptId = new AttemptId(call, attempt);
        if (admission.cancelQueued(call, attempt)) {
            waiting.remove(attemptId);
            return;
        }
        SimulatedTarget.Run run = running.remove(attemptId);
        if (run != null) {
            target.cancel(run);
            admission.onCancelled(call, attempt, now());
            startWaiting();
        }
    }

    /** Takes the guard's data centre out, or returns it with a cold target. */
    void setOut(boolean newOut) {
        out = newOut;
        if (!out) {
            incarnation++;
            sequence = 0;
            admission = newAdmission(true);
        }
    }

    /** Returns the newest report of load. */
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
                admission.slowdown(now()));
    }

    /** Returns the nodes that have sent a call shortly before. */
    List<Integer> recentIngresses() {
        lastCallByIngress.values().removeIf(nanos -> now() - nanos > RECENT_NANOS);
        return List.copyOf(lastCallByIngress.keySet());
    }

    /** Sets who is told when the target has become slow or has recovered. */
    void setSpeedListener(Runnable listener) {
        speeds.setChangeListener(listener);
    }

    private void scheduleQueueTick() {
        if (target.tellsSpeed() && !queueTickScheduled) {
            queueTickScheduled = true;
            world.events()
                    .after(
                            QUEUE_TICK_NANOS,
                            () -> {
                                queueTickScheduled = false;
                                startWaiting();
                                if (admission.queued() > 0) {
                                    scheduleQueueTick();
                                }
                            });
        }
    }

    private void start(Waiting call) {
        polls.onCall();
        AttemptId attemptId = attemptId(call.call);
        long startNanos = now();
        running.put(
                attemptId,
                target.start(call.demandNanos, () -> finish(call, attemptId, startNanos)));
    }

    private void finish(Waiting call, AttemptId attemptId, long startNanos) {
        running.remove(attemptId);
        long now = now();
        admission.onEnded(attemptId.call, attemptId.attempt, now - startNanos, false, now);
        speeds.onTold();
        startWaiting();
        call.onAnswer.accept(new Answer(Optional.empty(), report()));
    }

    private void startWaiting() {
        Optional<CallDescription> next = admission.nextStartable(now());
        while (next.isPresent()) {
            start(waiting.remove(attemptId(next.get())));
            next = admission.nextStartable(now());
        }
        refuseExpired();
        for (CallDescription call : admission.removeMovable(now())) {
            waiting.remove(attemptId(call))
                    .onAnswer
                    .accept(new Answer(Optional.of(ErrorCode.GUARD_BUSY), report()));
        }
    }

    private void refuseExpired() {
        for (CallDescription call : admission.removeExpired(now())) {
            waiting.remove(attemptId(call))
                    .onAnswer
                    .accept(new Answer(Optional.of(ErrorCode.DEADLINE_TOO_SHORT), report()));
        }
    }

    private void tick() {
        if (now() >= nextPollNanos && polls.tryPoll(now())) {
            nextPollNanos = now() + POLL_INTERVAL_NANOS;
            world.measurements().onPoll(now());
            admission.onCapacity(capacity(target.isCold()), now());
        }
        startWaiting();
        if (now() < world.scenario().endNanos() || admission.queued() > 0) {
            world.events().after(TICK_NANOS, this::tick);
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
        return world.events().nowNanos();
    }
}
