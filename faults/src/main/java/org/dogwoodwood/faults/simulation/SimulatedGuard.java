package org.dogwoodwood.faults.simulation;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.CallRegistry;
import org.dogwoodwood.core.calls.CallState;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.health.CrashTrials;
import org.dogwoodwood.core.health.RecentAnswers;
import org.dogwoodwood.core.health.TrialCrash;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.idempotency.KeyDecision;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.faults.simulation.Event.EndReason;

/** The guard of a node, which combines call registry, keys, crash fingerprints and admission. */
final class SimulatedGuard {

    private static final long POLL_INTERVAL_NANOS = 100 * EventLoop.MILLISECOND;

    private static final class PendingCall {
        private final CallMessage message;
        private Consumer<AnswerMessage> reply;
        private boolean started;
        private long startedAtNanos;

        PendingCall(CallMessage message, Consumer<AnswerMessage> reply) {
            this.message = message;
            this.reply = reply;
        }
    }

    private final SimulatedNode node;
    private final SimulatedTarget target;
    private final EventLoop loop;
    private final Policies policies;
    private final CallRegistry calls = CallRegistry.create();
    private final AdmissionController admission;
    private final LongPredicate pollBudget;
    private final IdempotencyRegistry keys;
    private final Map<AttemptId, PendingCall> pending = new LinkedHashMap<>();
    private final CrashTrials trials;
    private final RecentAnswers recentAnswers = RecentAnswers.create();
    private final Map<AttemptId, Boolean> keyedAttempts = new HashMap<>();
    private long targetIncarnation = 1;
    private long reportSequence;
    private boolean draining;
    private boolean targetDown;
    private boolean leaving;

    SimulatedGuard(SimulatedNode node, SimulatedTarget target, Policies policies) {
        this.node = node;
        this.target = target;
        this.loop = node.loop();
        this.policies = policies;
        // A new guard does not know the state of its target and assumes that it is cold.
        this.admission = policies.admissionController(capacity(true), loop.now());
        this.pollBudget = policies.measurementBudget(loop.now());
        this.keys = policies.idempotencyRegistry(node.control().keys(), node.control().ownership());
        this.trials = CrashTrials.create(node.id());
        target.setCrashListener(() -> node.execute(this::onTargetDown));
    }

    void start() {
        poll();
    }

    void leave() {
        leaving = true;
    }

    int inFlight() {
        return pending.size();
    }

    /** Handles a CALL frame. */
    void onCall(CallMessage message, Consumer<AnswerMessage> reply) {
        CallState state = policies.registerAttempt(calls, message.id(), loop.now());
        if (state != CallState.NEW) {
            answerFromRegistry(message.id(), state, reply);
            return;
        }
        pending.put(message.id(), new PendingCall(message, reply));
        Optional<ErrorCode> refusal = refusal();
        if (refusal.isEmpty() && message.expectedIncarnation() != node.incarnation()) {
            refusal = Optional.of(ErrorCode.INCARNATION_CHANGED);
        }
        if (refusal.isPresent()) {
            finish(message.id(), FinishedCall.notRun(refusal.get()));
            return;
        }
        beginTrial(message);
    }

    /** Handles a RESUME frame. */
    void onResume(AttemptId id, long incarnation, Consumer<AnswerMessage> reply) {
        if (incarnation != node.incarnation()) {
            FinishedCall lost = FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN);
            reply.accept(new AnswerMessage(id, lost, loadReport()));
            return;
        }
        answerFromRegistry(id, calls.resumeOrCancel(id, loop.now()), reply);
    }

    /**
     * Handles a CANCEL frame. A running call that is not idempotent continues, so that its answer
     * is kept.
     */
    void onCancel(AttemptId id) {
        calls.resumeOrCancel(id, loop.now());
        PendingCall call = pending.get(id);
        if (call == null) {
            return;
        }
        if (!call.started && admission.cancelQueued(id.call(), id.attempt())) {
            refuse(call, ErrorCode.CANCELLED);
        } else if (call.started && call.message.call().idempotent()) {
            target.cancel(call.message.request().number());
        }
    }

    private void beginTrial(CallMessage message) {
        CallDescription call = message.call();
        Optional<CrashSuspicion> blocked = node.control().blocked(call.fingerprint());
        Optional<ErrorCode> refusal =
                blocked.flatMap(
                        suspicion ->
                                trials.refusal(
                                        call,
                                        suspicion,
                                        node.control().crashPolicy(),
                                        node.control().acceptingNodes(),
                                        loop.now()));
        if (refusal.isPresent()) {
            finish(message.id(), FinishedCall.notRun(refusal.get()));
            return;
        }
        if (blocked.isPresent()) {
            trials.begin(call, loop.now());
        }
        beginKey(message);
    }

    private void beginKey(CallMessage message) {
        CallDescription call = message.call();
        if (call.key().isPresent() && !call.idempotent()) {
            KeyDecision decision = keys.begin(call, loop.now());
            if (decision.kind() != KeyDecision.Kind.RUN) {
                finish(
                        message.id(),
                        decision.answer()
                                .map(FinishedCall::answered)
                                .orElseGet(
                                        () ->
                                                FinishedCall.notRun(
                                                        decision.refusal().orElseThrow())));
                return;
            }
            keyedAttempts.put(message.id(), Boolean.TRUE);
        }
        offer(message);
    }

    private void offer(CallMessage message) {
        AdmissionDecision decision = admission.offer(message.call(), loop.now());
        switch (decision.kind()) {
            case START -> startOnTarget(message.call());
            case QUEUE -> node.reportStep(Step.QUEUED, message);
            default -> refuse(pending.get(message.id()), decision.refusal().orElseThrow());
        }
    }

    private void startOnTarget(CallDescription call) {
        PendingCall pendingCall = pending.get(AttemptId.of(call.id(), call.attempt()));
        Optional<ErrorCode> refusal = refusal();
        if (refusal.isEmpty() && keyedAttempts.containsKey(pendingCall.message.id())) {
            if (!keys.mayStart(call, loop.now())) {
                refusal = Optional.of(ErrorCode.KEY_NOT_OWNED);
            }
        }
        if (refusal.isEmpty() && call.deadlineNanos() <= loop.now()) {
            refusal = Optional.of(ErrorCode.DEADLINE_TOO_SHORT);
        }
        if (refusal.isPresent()) {
            releaseSlot(call);
            refuse(pendingCall, refusal.get());
            return;
        }
        pendingCall.started = true;
        pendingCall.startedAtNanos = loop.now();
        boolean connected =
                target.start(
                        pendingCall.message.request(),
                        result -> node.execute(() -> onResult(pendingCall, result)));
        if (!connected) {
            pendingCall.started = false;
            onTargetDown();
            releaseSlot(call);
            refuse(pendingCall, ErrorCode.NO_TARGET);
            return;
        }
        node.reportStep(Step.STARTED, pendingCall.message);
    }

    private void onResult(PendingCall call, SimulatedTarget.Result result) {
        AttemptId id = call.message.id();
        if (pending.get(id) != call) {
            return;
        }
        boolean answered = result.endReason() == EndReason.ANSWERED;
        boolean failed = !answered || result.status() >= 500;
        admission.onEnded(
                id.call(), id.attempt(), loop.now() - call.startedAtNanos, failed, loop.now());
        FinishedCall finished = FinishedCall.unknown(ErrorCode.TARGET_FAILED);
        if (answered) {
            byte[] body = result.body().orElse("").getBytes(StandardCharsets.UTF_8);
            TargetAnswer answer = TargetAnswer.of(result.status(), List.of(), body);
            finished = FinishedCall.answered(answer);
            if (keyedAttempts.containsKey(id)) {
                keys.complete(call.message.call(), answer, loop.now());
            }
        } else if (keyedAttempts.containsKey(id)) {
            keys.markInDoubt(call.message.call(), loop.now());
        }
        node.reportStep(Step.ANSWERING, call.message);
        finish(id, finished);
        startQueued();
    }

    private void refuse(PendingCall call, ErrorCode code) {
        AttemptId id = call.message.id();
        if (keyedAttempts.containsKey(id)) {
            keys.release(call.message.call());
        }
        finish(id, FinishedCall.notRun(code));
    }

    /** Releases the slot of a call that was admitted but not started. */
    private void releaseSlot(CallDescription call) {
        admission.onCancelled(call.id(), call.attempt(), loop.now());
    }

    private void finish(AttemptId id, FinishedCall finished) {
        PendingCall call = pending.remove(id);
        trials.end(call.message.call(), finished.outcome() == Outcome.UNKNOWN, loop.now());
        if (finished.outcome() == Outcome.ANSWERED) {
            long fingerprint = call.message.call().fingerprint();
            recentAnswers.add(fingerprint, loop.now());
            node.control().onAnswered(targetIncarnation, fingerprint, 0);
        }
        keyedAttempts.remove(id);
        calls.finish(id, finished, loop.now());
        call.reply.accept(new AnswerMessage(id, finished, loadReport()));
    }

    /** Answers an attempt that the call registry already holds. */
    private void answerFromRegistry(AttemptId id, CallState state, Consumer<AnswerMessage> reply) {
        switch (state) {
            case RUNNING -> pending.get(id).reply = reply;
            case FINISHED ->
                    reply.accept(
                            new AnswerMessage(id, calls.finished(id).orElseThrow(), loadReport()));
            case CANCELLED ->
                    reply.accept(
                            new AnswerMessage(
                                    id, FinishedCall.notRun(ErrorCode.CANCELLED), loadReport()));
            case EVICTED ->
                    reply.accept(
                            new AnswerMessage(
                                    id,
                                    FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN),
                                    loadReport()));
            default -> throw new IllegalStateException("A registered attempt must not be new.");
        }
    }

    private Optional<ErrorCode> refusal() {
        if (policies.refusesWork(leaving, draining)) {
            return Optional.of(ErrorCode.TARGET_DRAINING);
        }
        if (targetDown) {
            return Optional.of(ErrorCode.NO_TARGET);
        }
        if (policies.isOut(node.control().orders(), node.dataCentre())) {
            return Optional.of(ErrorCode.DATA_CENTRE_OUT);
        }
        if (loop.now() >= node.control().leaseExpiryNanos()) {
            return Optional.of(ErrorCode.LEASE_LAPSED);
        }
        return Optional.empty();
    }

    private void poll() {
        if (pollBudget.test(loop.now())) {
            Optional<SimulatedTarget.Load> load = target.poll();
            load.ifPresentOrElse(this::onLoad, this::onTargetDown);
        }
        for (CallDescription expired : admission.removeExpired(loop.now())) {
            PendingCall call = pending.get(AttemptId.of(expired.id(), expired.attempt()));
            if (call != null) {
                refuse(call, ErrorCode.DEADLINE_TOO_SHORT);
            }
        }
        startQueued();
        node.schedule(POLL_INTERVAL_NANOS, this::poll);
    }

    private void onLoad(SimulatedTarget.Load load) {
        boolean returned = targetDown;
        targetDown = false;
        targetIncarnation = Math.max(targetIncarnation, load.capacity().incarnation());
        admission.onCapacity(load.capacity(), loop.now());
        boolean refuses = policies.refusesWork(false, load.draining());
        if (returned || refuses != draining) {
            draining = refuses;
            node.control().announceState(draining ? TargetState.DRAINING : TargetState.WARM);
        }
    }

    private void onTargetDown() {
        if (targetDown) {
            return;
        }
        targetDown = true;
        node.control().announceState(TargetState.DOWN);
        Set<Long> fingerprints = new HashSet<>();
        pending.values().stream()
                .filter(call -> call.started)
                .forEach(call -> fingerprints.add(call.message.call().fingerprint()));
        Optional<TrialCrash> tried = trials.onCrash(fingerprints, loop.now());
        node.control().onCrash(targetIncarnation, fingerprints, tried);
        fingerprints.forEach(
                fingerprint ->
                        recentAnswers
                                .ageNanos(fingerprint, loop.now())
                                .ifPresent(
                                        age ->
                                                node.control()
                                                        .onAnswered(
                                                                targetIncarnation,
                                                                fingerprint,
                                                                age)));
        targetIncarnation++;
        admission.onCapacity(capacity(true), loop.now());
    }

    private void startQueued() {
        Optional<CallDescription> next = admission.nextStartable(loop.now());
        while (next.isPresent()) {
            startOnTarget(next.get());
            next = admission.nextStartable(loop.now());
        }
    }

    private TargetCapacity capacity(boolean cold) {
        return new TargetCapacity(
                SimulatedTarget.SLOTS,
                SimulatedTarget.CONNECTIONS,
                SimulatedTarget.COLD_SLOTS,
                cold,
                targetIncarnation);
    }

    private LoadReport loadReport() {
        return new LoadReport(
                node.id(),
                node.incarnation(),
                ++reportSequence,
                admission.inFlight(),
                admission.queued(),
                admission.limit(),
                SimulatedTarget.SLOTS,
                admission.serviceTimeNanos(loop.now()) / 1_000,
                admission.errorRatio(),
                targetState(),
                0,
                node.control().targetStateVersion());
    }

    private TargetState targetState() {
        if (targetDown) {
            return TargetState.DOWN;
        }
        if (leaving) {
            return TargetState.LEAVING;
        }
        return draining ? TargetState.DRAINING : TargetState.WARM;
    }
}
