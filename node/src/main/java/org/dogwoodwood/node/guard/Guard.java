package org.dogwoodwood.node.guard;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.CallRegistry;
import org.dogwoodwood.core.calls.CallState;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.idempotency.KeyDecision;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.node.control.ControlPlane;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.peer.AttemptAnswer;
import org.dogwoodwood.node.peer.CallHandler;
import org.dogwoodwood.node.peer.PeerIdentity;

/**
 * The only path to the target beside this node: it admits, queues, starts and ends calls there.
 * Used on the traffic loop only.
 */
public final class Guard implements CallHandler {

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int QUEUE_TICK_MILLIS = 5;
    private static final int ORDER_TICK_MILLIS = 100;

    // Work that starts in a slow phase of the target stays slow, so an older speed is asked for.
    private static final long FRESH_SPEED_NANOS = 30_000_000L;
    private static final long HELD_SPEED_NANOS = 20_000_000L;

    // Peers avoid a target that told them of a slow phase until they hear of its end.
    private static final int SLOW_POLL_MILLIS = 40;
    private static final int STILL_SLOW_POLL_MILLIS = 200;

    // Senders are told at once when the target's time passes this multiple of the usual one.
    private static final double SLOW_RATIO = 1.5;

    private final Vertx vertx;
    private final PeerIdentity identity;
    private final ControlPlane control;
    private final StartChecks checks;
    private final TargetProtocol protocol;
    private final Optional<IdempotencyRegistry> keys;
    private final CallRegistry registry = CallRegistry.create();
    private final AdmissionHolder admission;
    private final TargetMonitor monitor;
    private final SuspectRequests suspects = new SuspectRequests();
    private final NodeMetrics metrics;
    private final AttemptLog attempts;
    private final Map<AttemptId, GuardedCall> calls = new HashMap<>();
    // Calls that wait until the target has told its speed.
    private final Set<GuardedCall> unoffered = new LinkedHashSet<>();
    private final Promise<Void> idle = Promise.promise();
    private Consumer<String> serviceListener = service -> {};
    private Consumer<LoadReport> reportListener = report -> {};
    private boolean leaving;
    private boolean dataCentreOut;
    private long unofferedSinceNanos;
    private boolean tickScheduled;
    private boolean slowPollScheduled;
    private boolean startCheckScheduled;
    private long reportSequence;

    private Guard(
            Vertx vertx,
            PeerIdentity identity,
            ControlPlane control,
            Optional<IdempotencyRegistry> keys,
            TargetProtocol protocol,
            MeasurementBudget budget,
            NodeMetrics metrics,
            EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.identity = Objects.requireNonNull(identity, "identity");
        this.control = Objects.requireNonNull(control, "control");
        this.checks = new StartChecks(control::routingTable);
        this.keys = Objects.requireNonNull(keys, "keys");
        this.protocol = Objects.requireNonNull(protocol, "protocol");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.attempts = new AttemptLog(log, protocol);
        this.admission = new AdmissionHolder(control::routingTable);
        this.monitor =
                new TargetMonitor(
                        vertx, protocol, this::healthPathOf, budget, log, new TargetListener());
    }

    /**
     * Returns a guard without a target.
     *
     * @param keys the keys that this guard owns, or empty to run keyed calls like others
     * @param protocol how the target is spoken to, not null
     * @param budget the budget for polls of the target, not null
     */
    public static Guard create(
            Vertx vertx,
            PeerIdentity identity,
            ControlPlane control,
            Optional<IdempotencyRegistry> keys,
            TargetProtocol protocol,
            MeasurementBudget budget,
            NodeMetrics metrics,
            EventLog log) {
        return new Guard(vertx, identity, control, keys, protocol, budget, metrics, log);
    }

    /** Starts to watch the target; must be called on the traffic loop. */
    public void start() {
        monitor.start();
        vertx.setPeriodic(ORDER_TICK_MILLIS, ignored -> checkOrder());
    }

    /** Sets who is told the service of the target; call it before {@link #start}. */
    public void setServiceListener(Consumer<String> listener) {
        serviceListener = listener;
    }

    /** Sets who is told the load when the target has become slow or has recovered. */
    public void setReportListener(Consumer<LoadReport> listener) {
        reportListener = listener;
    }

    /** Takes in what the target, or the settings in its place, announce. */
    public void onAnnouncement(TargetAnnouncement announcement) {
        serviceListener.accept(announcement.service());
        monitor.onAnnouncement(announcement);
        announce();
    }

    /**
     * Refuses new calls from here on, which were not run, and ends those that wait.
     *
     * @return completes when no call is in flight
     */
    public Future<Void> leave() {
        leaving = true;
        for (GuardedCall call : List.copyOf(calls.values())) {
            if (!call.isAdmitted()) {
                unoffered.remove(call);
                admission.get().cancelQueued(call.id().call(), call.id().attempt());
                end(call, FinishedCall.notRun(ErrorCode.TARGET_DRAINING));
            }
        }
        completeIfIdle();
        return idle.future();
    }

    /** Returns the number of calls that have been taken and not ended. */
    public int pending() {
        return calls.size();
    }

    /** Returns the state of the target as peers see it. */
    public TargetState state() {
        return leaving ? TargetState.LEAVING : monitor.state();
    }

    /** Returns what the target last announced, or empty if the node has no target. */
    public Optional<TargetAnnouncement> announcement() {
        return monitor.announcement();
    }

    /** Returns how many polls the target has received. */
    public long polls() {
        return monitor.polls();
    }

    @Override
    public void onCall(CallFrame frame, Consumer<AttemptAnswer> listener) {
        long nowNanos = System.nanoTime();
        if (frame.expectedIncarnation() != identity.incarnation()) {
            listener.accept(answer(FinishedCall.notRun(ErrorCode.INCARNATION_CHANGED)));
            return;
        }
        CallState known = registry.begin(frame.id(), nowNanos);
        if (known == CallState.NEW) {
            monitor.onCall();
            take(frame, listener, nowNanos);
        } else if (known != CallState.RUNNING) {
            listener.accept(answer(endOf(frame.id(), known)));
        }
    }

    @Override
    public void onResume(ResumeFrame frame, Consumer<AttemptAnswer> listener) {
        if (frame.guardIncarnation() != identity.incarnation()) {
            listener.accept(answer(FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN)));
            return;
        }
        CallState known = registry.resumeOrCancel(frame.id(), System.nanoTime());
        GuardedCall running = calls.get(frame.id());
        if (running != null) {
            running.replaceListener(listener);
        } else {
            listener.accept(answer(endOf(frame.id(), known)));
        }
    }

    @Override
    public void onCancel(AttemptId id) {
        registry.resumeOrCancel(id, System.nanoTime());
        GuardedCall call = calls.get(id);
        if (call == null) {
            return;
        }
        if (call.exchange().isPresent()) {
            TargetExchange exchange = call.exchange().get();
            if (call.isKeyed() && exchange.isSent()) {
                // The caller can repeat the request with its key and get the answer.
                return;
            }
            exchange.abort(
                    exchange.isSent()
                            ? FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN)
                            : FinishedCall.notRun(ErrorCode.CANCELLED));
        } else if (unoffered.remove(call)
                || admission.get().cancelQueued(id.call(), id.attempt())) {
            end(call, FinishedCall.notRun(ErrorCode.CANCELLED));
        }
    }

    @Override
    public Optional<LoadReport> report() {
        if (monitor.announcement().isEmpty()) {
            return Optional.empty();
        }
        AdmissionController current = admission.get();
        long nowNanos = System.nanoTime();
        reportSequence++;
        return Optional.of(
                new LoadReport(
                        identity.node(),
                        identity.incarnation(),
                        reportSequence,
                        current.inFlight(),
                        current.queued(),
                        current.limit(),
                        monitor.slots(),
                        current.serviceTimeNanos(nowNanos) / 1_000,
                        current.errorRatio(),
                        state(),
                        current.slowdown(nowNanos)));
    }

    private void take(CallFrame frame, Consumer<AttemptAnswer> listener, long nowNanos) {
        CallDescription description = frame.describe(nowNanos);
        Optional<ErrorCode> refusal = refusal(description, nowNanos);
        if (refusal.isPresent()) {
            GuardedCall refused = new GuardedCall(frame, description, false, listener);
            end(refused, FinishedCall.notRun(refusal.get()));
            return;
        }
        boolean keyed = keys.isPresent() && frame.key().isPresent() && !frame.idempotent();
        if (keyed) {
            KeyDecision decision = keys.get().begin(description, nowNanos);
            if (decision.kind() != KeyDecision.Kind.RUN) {
                GuardedCall unkeyed = new GuardedCall(frame, description, false, listener);
                end(
                        unkeyed,
                        decision.answer()
                                .map(FinishedCall::answered)
                                .orElseGet(() -> FinishedCall.notRun(decision.refusal().get())));
                return;
            }
        }
        GuardedCall call = new GuardedCall(frame, description, keyed, listener);
        calls.put(call.id(), call);
        if (monitor.isSpeedOlderThan(FRESH_SPEED_NANOS, nowNanos) && monitor.ask()) {
            unofferedSinceNanos = unoffered.isEmpty() ? nowNanos : unofferedSinceNanos;
            unoffered.add(call);
            scheduleTick();
        } else {
            offer(call, nowNanos);
        }
    }

    private void offer(GuardedCall call, long nowNanos) {
        CallDescription description = call.description();
        AdmissionDecision decision = admission.get().offer(description, nowNanos);
        switch (decision.kind()) {
            case START -> startNow(call, nowNanos);
            case REFUSE -> end(call, FinishedCall.notRun(decision.refusal().get()));
            // pump starts it when a slot is free, or tick ends it when its time is over.
            default -> scheduleTick();
        }
    }

    /** Repeats all checks, since anything may have changed while the call was queued. */
    private Optional<ErrorCode> startRefusal(GuardedCall call, long nowNanos) {
        Optional<ErrorCode> refusal = refusal(call.description(), nowNanos);
        boolean keyLost =
                refusal.isEmpty()
                        && call.isKeyed()
                        && !keys.get().mayStart(call.description(), nowNanos);
        return keyLost ? Optional.of(ErrorCode.KEY_NOT_OWNED) : refusal;
    }

    private Optional<ErrorCode> refusal(CallDescription call, long nowNanos) {
        Optional<TargetAnnouncement> announcement = monitor.announcement();
        if (announcement.isEmpty() || !announcement.get().service().equals(call.service())) {
            return Optional.of(ErrorCode.NO_TARGET);
        }
        return checks.refusal(call, state(), nowNanos);
    }

    /** Starts a call that admission counts as in flight, unless something has changed since. */
    private void startNow(GuardedCall call, long nowNanos) {
        call.onAdmitted(nowNanos);
        Optional<ErrorCode> refusal = startRefusal(call, nowNanos);
        if (refusal.isPresent()) {
            admission.get().onCancelled(call.id().call(), call.id().attempt(), nowNanos);
            end(call, FinishedCall.notRun(refusal.get()));
            return;
        }
        long remainingMillis = (call.description().deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
        metrics.onTargetCall();
        TargetExchange exchange =
                monitor.client()
                        .send(
                                call.frame(),
                                protocol.headersFor(
                                        call.frame(),
                                        monitor.announcement().orElseThrow(),
                                        remainingMillis),
                                maxAnswerBytes(call.frame().service()),
                                remainingMillis,
                                result -> onResult(call, result));
        call.onStarted(exchange);
        checkSpeedSoon();
    }

    /** Finds out whether a slow phase had begun before the start, so that ingresses can hedge. */
    private void checkSpeedSoon() {
        if (startCheckScheduled) {
            return;
        }
        startCheckScheduled = true;
        vertx.setTimer(
                FRESH_SPEED_NANOS / NANOS_PER_MILLI,
                ignored -> {
                    startCheckScheduled = false;
                    boolean working = admission.get().inFlight() > 0;
                    if (working && monitor.isSpeedOlderThan(HELD_SPEED_NANOS, System.nanoTime())) {
                        monitor.ask();
                    }
                });
    }

    private void onResult(GuardedCall call, TargetResult result) {
        long nowNanos = System.nanoTime();
        admission
                .get()
                .onEnded(
                        call.id().call(),
                        call.id().attempt(),
                        call.serviceTimeNanos(nowNanos),
                        result.isFailure(),
                        nowNanos);
        result.condition().ifPresent(told -> onCondition(told, nowNanos));
        if (result.kind() == TargetResult.Kind.BROKEN) {
            suspects.add(call.description().fingerprint(), nowNanos);
        }
        end(call, result.finished());
        monitor.onCallEnded(result.kind());
        pump(nowNanos);
    }

    private void onCondition(TargetCondition told, long nowNanos) {
        AdmissionController current = admission.get();
        boolean wasSlow = current.slowdown(nowNanos) >= SLOW_RATIO;
        current.onSlowdown(told.slowdown(), nowNanos);
        monitor.onCondition(nowNanos);
        boolean slow = told.slowdown() >= SLOW_RATIO;
        if (wasSlow != slow) {
            report().ifPresent(reportListener);
        }
        if (slow && !slowPollScheduled) {
            slowPollScheduled = true;
            int delayMillis =
                    current.isHolding(nowNanos) ? SLOW_POLL_MILLIS : STILL_SLOW_POLL_MILLIS;
            vertx.setTimer(delayMillis, ignored -> pollSlowTarget());
        }
    }

    private void pollSlowTarget() {
        slowPollScheduled = false;
        if (monitor.isSpeedOlderThan(HELD_SPEED_NANOS, System.nanoTime())) {
            monitor.ask();
        }
    }

    private void end(GuardedCall call, FinishedCall finished) {
        long nowNanos = System.nanoTime();
        calls.remove(call.id());
        registry.finish(call.id(), finished, nowNanos);
        if (call.isKeyed()) {
            endKey(call, finished, nowNanos);
        }
        if (finished.error().isPresent()) {
            metrics.onGuardRefusal(finished.error().get());
            attempts.write(call, finished, state(), admission.get(), nowNanos);
        }
        call.answer(answer(finished));
        completeIfIdle();
    }

    private void endKey(GuardedCall call, FinishedCall finished, long nowNanos) {
        IdempotencyRegistry owned = keys.get();
        if (finished.answer().isPresent()) {
            owned.complete(call.description(), finished.answer().get(), nowNanos);
        } else if (finished.outcome() == Outcome.NOT_RUN) {
            owned.abandon(call.description());
        } else {
            owned.leaveInDoubt(call.description(), nowNanos);
        }
    }

    private void pump(long nowNanos) {
        Optional<CallDescription> next = admission.get().nextStartable(nowNanos);
        while (next.isPresent()) {
            CallDescription started = next.get();
            startNow(calls.get(AttemptId.of(started.id(), started.attempt())), nowNanos);
            next = admission.get().nextStartable(nowNanos);
        }
        endQueued(admission.get().removeExpired(nowNanos), ErrorCode.DEADLINE_TOO_SHORT);
        endQueued(admission.get().removeMovable(nowNanos), ErrorCode.GUARD_BUSY);
    }

    private void endQueued(List<CallDescription> removed, ErrorCode code) {
        for (CallDescription queued : removed) {
            end(calls.get(AttemptId.of(queued.id(), queued.attempt())), FinishedCall.notRun(code));
        }
    }

    private void offerAll() {
        List<GuardedCall> waiting = List.copyOf(unoffered);
        unoffered.clear();
        long nowNanos = System.nanoTime();
        for (GuardedCall call : waiting) {
            Optional<ErrorCode> refusal = startRefusal(call, nowNanos);
            if (refusal.isPresent()) {
                end(call, FinishedCall.notRun(refusal.get()));
            } else {
                offer(call, nowNanos);
            }
        }
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            vertx.setTimer(QUEUE_TICK_MILLIS, ignored -> tick());
        }
    }

    private void tick() {
        tickScheduled = false;
        long nowNanos = System.nanoTime();
        if (nowNanos - unofferedSinceNanos > FRESH_SPEED_NANOS) {
            // The target does not answer polls; its calls are not delayed any longer.
            offerAll();
        }
        AdmissionController current = admission.get();
        if (current.queued() > 0) {
            if (current.isHolding(nowNanos)
                    && monitor.isSpeedOlderThan(HELD_SPEED_NANOS, nowNanos)) {
                monitor.ask();
            }
            pump(nowNanos);
        }
        if (!unoffered.isEmpty() || current.queued() > 0) {
            scheduleTick();
        }
    }

    private void checkOrder() {
        boolean out = control.routingTable().ownDataCentreOut();
        if (dataCentreOut && !out) {
            // A target that got no work for a while may have become cold.
            monitor.assumeCold();
        }
        dataCentreOut = out;
    }

    private FinishedCall endOf(AttemptId id, CallState known) {
        if (known == CallState.CANCELLED) {
            return FinishedCall.notRun(ErrorCode.CANCELLED);
        }
        return registry.finished(id)
                .orElseGet(() -> FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN));
    }

    private AttemptAnswer answer(FinishedCall finished) {
        return AttemptAnswer.of(finished, report());
    }

    private String healthPathOf(String service) {
        ServiceDefinition definition =
                control.routingTable().configuration().services().get(service);
        return definition == null ? ServiceDefinition.DEFAULT_HEALTH_PATH : definition.healthPath();
    }

    private int maxAnswerBytes(String service) {
        ServiceDefinition definition =
                control.routingTable().configuration().services().get(service);
        return definition == null
                ? ServiceDefinition.DEFAULT_MAX_ANSWER_BYTES
                : definition.maxAnswerBytes();
    }

    private void completeIfIdle() {
        if (leaving && calls.isEmpty()) {
            idle.tryComplete();
        }
    }

    private void announce() {
        monitor.announcement()
                .ifPresent(
                        target ->
                                control.announceTarget(
                                        target.service(),
                                        target.slots(),
                                        target.connections(),
                                        state()));
    }

    private final class TargetListener implements TargetMonitor.Listener {

        @Override
        public void onCapacity(TargetCapacity capacity) {
            long nowNanos = System.nanoTime();
            admission.onCapacity(
                    monitor.announcement().orElseThrow().service(), capacity, nowNanos);
            pump(nowNanos);
        }

        @Override
        public void onState(TargetState state) {
            announce();
        }

        @Override
        public void onCondition(TargetCondition condition) {
            Guard.this.onCondition(condition, System.nanoTime());
        }

        @Override
        public void onPolled() {
            offerAll();
            pump(System.nanoTime());
        }

        @Override
        public void onCrash() {
            Set<Long> fingerprints = suspects.take(System.nanoTime());
            if (!fingerprints.isEmpty()) {
                control.reportCrash(fingerprints);
            }
        }
    }
}
