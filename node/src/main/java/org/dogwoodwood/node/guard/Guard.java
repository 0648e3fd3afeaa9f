package org.dogwoodwood.node.guard;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
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
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.CallRegistry;
import org.dogwoodwood.core.calls.CallState;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.LoadReport;
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
    private static final int ORDER_TICK_MILLIS = 100;

    // Senders are told at once when the target's time passes this multiple of the usual one.
    private static final double SLOW_RATIO = 1.5;

    private final Vertx vertx;
    private final PeerIdentity identity;
    private final ControlPlane control;
    private final StartChecks checks;
    private final ServiceFigures services;
    private final TargetProtocol protocol;
    private final GuardedKeys keys;
    private final CallRegistry registry = CallRegistry.create();
    private final AdmissionHolder admission;
    private final TargetMonitor monitor;
    private final SpeedWatch speeds;
    private final WaitingCalls waiting;
    private final LoadReporter reports;
    private final SuspectRequests suspects = new SuspectRequests();
    private final NodeMetrics metrics;
    private final AttemptLog attempts;
    private final Map<AttemptId, GuardedCall> calls = new HashMap<>();
    private final Promise<Void> idle = Promise.promise();
    private Consumer<String> serviceListener = service -> {};
    private Consumer<LoadReport> reportListener = report -> {};
    private boolean leaving;
    private boolean dataCentreOut;

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
        this.services = new ServiceFigures(control::routingTable);
        this.keys = new GuardedKeys(keys);
        this.protocol = Objects.requireNonNull(protocol, "protocol");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.attempts = new AttemptLog(log, protocol);
        this.admission = new AdmissionHolder(control::routingTable);
        this.monitor =
                new TargetMonitor(
                        vertx, protocol, services::healthPath, budget, log, new TargetListener());
        this.speeds = new SpeedWatch(vertx, monitor, admission::get);
        this.reports = new LoadReporter(identity, monitor, admission);
        this.waiting =
                new WaitingCalls(
                        vertx, admission, speeds, this::startRefusal, new WaitingListener());
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
                waiting.forget(call);
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
            exchange.cancel();
        } else if (waiting.forget(call)) {
            end(call, FinishedCall.notRun(ErrorCode.CANCELLED));
        }
    }

    @Override
    public Optional<LoadReport> report() {
        return reports.next(state(), System.nanoTime());
    }

    private void take(CallFrame frame, Consumer<AttemptAnswer> listener, long nowNanos) {
        CallDescription description = frame.describe(nowNanos);
        Optional<ErrorCode> refusal = refusal(description, nowNanos);
        if (refusal.isPresent()) {
            GuardedCall refused = new GuardedCall(frame, description, false, listener, nowNanos);
            end(refused, FinishedCall.notRun(refusal.get()));
            return;
        }
        boolean keyed = keys.concern(frame);
        Optional<FinishedCall> known = keyed ? keys.begin(description, nowNanos) : Optional.empty();
        if (known.isPresent()) {
            end(new GuardedCall(frame, description, false, listener, nowNanos), known.get());
            return;
        }
        GuardedCall call = new GuardedCall(frame, description, keyed, listener, nowNanos);
        calls.put(call.id(), call);
        waiting.add(call, nowNanos);
    }

    /** Repeats all checks, since anything may have changed while the call was queued. */
    private Optional<ErrorCode> startRefusal(GuardedCall call, long nowNanos) {
        Optional<ErrorCode> refusal = refusal(call.description(), nowNanos);
        return refusal.isEmpty() && call.isKeyed()
                ? keys.startRefusal(call.description(), nowNanos)
                : refusal;
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
        call.onAdmitted(startConditions(nowNanos), nowNanos);
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
                                services.maxAnswerBytes(call.frame().service()),
                                remainingMillis,
                                result -> onResult(call, result));
        call.onStarted(exchange);
    }

    private StartConditions startConditions(long nowNanos) {
        AdmissionController current = admission.get();
        return new StartConditions(
                current.slowdown(nowNanos),
                current.isSlow(nowNanos),
                monitor.speedAgeNanos(nowNanos),
                current.inFlight());
    }

    private void onResult(GuardedCall call, TargetResult result) {
        long nowNanos = System.nanoTime();
        metrics.onTargetResult(
                call.description().service(),
                call.description().callClass(),
                call.startConditions().slow(),
                call.waitNanos(nowNanos),
                call.serviceTimeNanos(nowNanos));
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
        waiting.startQueued(nowNanos);
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
        if (slow) {
            speeds.onSlow(nowNanos);
        }
    }

    private void end(GuardedCall call, FinishedCall finished) {
        long nowNanos = System.nanoTime();
        calls.remove(call.id());
        registry.finish(call.id(), finished, nowNanos);
        if (call.isKeyed()) {
            keys.end(call.description(), finished, nowNanos);
        }
        finished.error().ifPresent(metrics::onGuardRefusal);
        attempts.write(call, finished, state(), admission.get(), nowNanos);
        call.answer(answer(finished));
        completeIfIdle();
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

    private final class WaitingListener implements WaitingCalls.Listener {

        @Override
        public void onAdmitted(GuardedCall call, long nowNanos) {
            startNow(call, nowNanos);
        }

        @Override
        public void onRefused(GuardedCall call, ErrorCode code) {
            end(call, FinishedCall.notRun(code));
        }
    }

    private final class TargetListener implements TargetMonitor.Listener {

        @Override
        public void onCapacity(TargetCapacity capacity) {
            long nowNanos = System.nanoTime();
            admission.onCapacity(
                    monitor.announcement().orElseThrow().service(), capacity, nowNanos);
            waiting.startQueued(nowNanos);
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
            waiting.onPolled();
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
