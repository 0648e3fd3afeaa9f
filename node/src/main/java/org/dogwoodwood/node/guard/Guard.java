package org.dogwoodwood.node.guard;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
import org.dogwoodwood.core.membership.MemberTarget;
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
 * Admits, queues, starts and ends all calls to the target beside this node. Must be used on the
 * traffic loop only.
 */
public final class Guard implements CallHandler {

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int DATA_CENTRE_CHECK_MILLIS = 100;

    // Senders get a load report at once when the target's slowdown crosses this multiple of the
    // usual service time.
    private static final double SLOW_THRESHOLD = 1.5;

    private final Vertx vertx;
    private final PeerIdentity identity;
    private final ControlPlane control;
    private final StartChecks startChecks;
    private final ServiceSettings serviceSettings;
    private final TargetProtocol protocol;
    private final KeyedCalls keyedCalls;
    private final CallRegistry registry = CallRegistry.create();
    private final AdmissionHolder admission;
    private final TargetMonitor monitor;
    private final SpeedWatch speedWatch;
    private final WaitingCalls waitingCalls;
    private final LoadReporter loadReporter;
    private final CrashWatch crashWatch;
    private final NodeMetrics metrics;
    private final AttemptLog attemptLog;
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
        this.crashWatch = new CrashWatch(identity.node(), control, log);
        this.startChecks = new StartChecks(control::routingTable, crashWatch);
        this.serviceSettings = new ServiceSettings(control::routingTable);
        this.keyedCalls = new KeyedCalls(keys);
        this.protocol = Objects.requireNonNull(protocol, "protocol");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.attemptLog = new AttemptLog(log, protocol);
        this.admission = new AdmissionHolder(control::routingTable, metrics);
        this.monitor =
                new TargetMonitor(
                        vertx,
                        protocol,
                        serviceSettings::healthPath,
                        budget,
                        log,
                        metrics,
                        new TargetListener());
        this.speedWatch = new SpeedWatch(vertx, monitor, admission::get);
        this.loadReporter = new LoadReporter(identity, monitor, admission);
        this.waitingCalls =
                new WaitingCalls(
                        vertx, admission, speedWatch, this::startRefusal, new WaitingListener());
    }

    /**
     * Returns a guard without a target.
     *
     * @param keys the registry of the keys that this guard owns, or empty to run keyed calls
     *     without deduplication
     * @param protocol the protocol of the target, not null
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

    /** Starts monitoring the target; must be called on the traffic loop. */
    public void start() {
        monitor.start();
        metrics.addGauge("dogwoodwood_target_polls_total", monitor::polls);
        metrics.addGauge("dogwoodwood_blocked_requests", this::blockedRequests);
        vertx.setPeriodic(DATA_CENTRE_CHECK_MILLIS, ignored -> checkDataCentreState());
    }

    /** Sets the listener for the target's service name; must be called before {@link #start}. */
    public void setServiceListener(Consumer<String> listener) {
        serviceListener = listener;
    }

    /** Sets the listener for the load reports sent when the target becomes slow or recovers. */
    public void setReportListener(Consumer<LoadReport> listener) {
        reportListener = listener;
    }

    /** Applies an announcement by the target, or by the settings in its place. */
    public void onAnnouncement(TargetAnnouncement announcement) {
        serviceListener.accept(announcement.service());
        monitor.onAnnouncement(announcement);
        announce();
    }

    /**
     * Refuses all further calls as not run and ends the waiting calls in the same way.
     *
     * @return a future that completes when no call is in flight
     */
    public Future<Void> leave() {
        leaving = true;
        for (GuardedCall call : List.copyOf(calls.values())) {
            if (!call.isAdmitted()) {
                waitingCalls.remove(call);
                end(call, FinishedCall.notRun(ErrorCode.TARGET_DRAINING));
            }
        }
        completeIfIdle();
        return idle.future();
    }

    /** Returns the number of calls that have been accepted and have not ended. */
    public int pendingCalls() {
        return calls.size();
    }

    /** Returns the state of the target that this node reports to peers. */
    public TargetState state() {
        return leaving ? TargetState.LEAVING : monitor.state();
    }

    /** Returns what the target last announced, or empty if the node has no target. */
    public Optional<TargetAnnouncement> announcement() {
        return monitor.announcement();
    }

    @Override
    public void onCall(CallFrame frame, Consumer<AttemptAnswer> listener) {
        long nowNanos = System.nanoTime();
        if (!identity.isOwnIncarnation(frame.expectedIncarnation())) {
            listener.accept(answer(FinishedCall.notRun(ErrorCode.INCARNATION_CHANGED)));
            return;
        }
        CallState known = registry.begin(frame.id(), nowNanos);
        if (known == CallState.NEW) {
            monitor.onCall();
            accept(frame, listener, nowNanos);
        } else if (known != CallState.RUNNING) {
            listener.accept(answer(finishedCall(frame.id(), known)));
        }
    }

    @Override
    public void onResume(ResumeFrame frame, Consumer<AttemptAnswer> listener) {
        if (!identity.isOwnIncarnation(frame.guardIncarnation())) {
            listener.accept(answer(FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN)));
            return;
        }
        CallState known = registry.resumeOrCancel(frame.id(), System.nanoTime());
        GuardedCall running = calls.get(frame.id());
        if (running != null) {
            running.replaceListener(listener);
        } else {
            listener.accept(answer(finishedCall(frame.id(), known)));
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
                // The call runs on: the caller can repeat the request with its key and get the
                // recorded answer.
                return;
            }
            exchange.cancel();
        } else if (waitingCalls.remove(call)) {
            end(call, FinishedCall.notRun(ErrorCode.CANCELLED));
        }
    }

    @Override
    public Optional<LoadReport> report() {
        return announcedTarget().map(target -> loadReporter.next(target, System.nanoTime()));
    }

    private void accept(CallFrame frame, Consumer<AttemptAnswer> listener, long nowNanos) {
        CallDescription description = frame.toDescription(nowNanos);
        Optional<ErrorCode> refusal = refusal(description, nowNanos);
        if (refusal.isPresent()) {
            GuardedCall refused = new GuardedCall(frame, description, false, listener, nowNanos);
            end(refused, FinishedCall.notRun(refusal.get()));
            return;
        }
        boolean keyed = keyedCalls.appliesTo(frame);
        Optional<FinishedCall> known =
                keyed ? keyedCalls.begin(description, nowNanos) : Optional.empty();
        if (known.isPresent()) {
            end(new GuardedCall(frame, description, false, listener, nowNanos), known.get());
            return;
        }
        GuardedCall call = new GuardedCall(frame, description, keyed, listener, nowNanos);
        calls.put(call.id(), call);
        waitingCalls.add(call, nowNanos);
    }

    /** Repeats all checks, since their results may have changed while the call was queued. */
    private Optional<ErrorCode> startRefusal(GuardedCall call, long nowNanos) {
        Optional<ErrorCode> refusal = refusal(call.description(), nowNanos);
        return refusal.isEmpty() && call.isKeyed()
                ? keyedCalls.startRefusal(call.description(), nowNanos)
                : refusal;
    }

    private Optional<ErrorCode> refusal(CallDescription call, long nowNanos) {
        Optional<TargetAnnouncement> announcement = monitor.announcement();
        if (announcement.isEmpty() || !announcement.get().service().equals(call.service())) {
            return Optional.of(ErrorCode.NO_TARGET);
        }
        return startChecks.refusal(call, state(), nowNanos);
    }

    /** Starts a call that admission counts as in flight, unless a repeated check refuses it. */
    private void startNow(GuardedCall call, long nowNanos) {
        call.onAdmitted(startConditions(nowNanos), nowNanos);
        Optional<ErrorCode> refusal = startRefusal(call, nowNanos);
        if (refusal.isPresent()) {
            admission.get().onCancelled(call.id().call(), call.id().attempt(), nowNanos);
            end(call, FinishedCall.notRun(refusal.get()));
            return;
        }
        long remainingMillis = (call.description().deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
        crashWatch.onStart(call.description(), nowNanos);
        metrics.onTargetCall();
        TargetExchange exchange =
                monitor.client()
                        .send(
                                call.frame(),
                                protocol.headersFor(
                                        call.frame(),
                                        monitor.announcement().orElseThrow(),
                                        remainingMillis),
                                serviceSettings.maxAnswerBytes(call.frame().service()),
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
        result.load().ifPresent(load -> onTargetLoad(load, nowNanos));
        crashWatch.onResult(call.description(), result.kind(), nowNanos);
        end(call, result.finished());
        monitor.onCallEnded(result.kind());
        waitingCalls.startQueued(nowNanos);
    }

    private void onTargetLoad(ReportedLoad load, long nowNanos) {
        AdmissionController current = admission.get();
        boolean wasSlow = current.slowdown(nowNanos) >= SLOW_THRESHOLD;
        current.onSlowdown(load.slowdown(), nowNanos);
        monitor.onLoad(nowNanos);
        boolean slow = load.slowdown() >= SLOW_THRESHOLD;
        if (wasSlow != slow) {
            report().ifPresent(reportListener);
        }
        if (slow) {
            speedWatch.onSlow(nowNanos);
        }
    }

    private void end(GuardedCall call, FinishedCall finished) {
        long nowNanos = System.nanoTime();
        calls.remove(call.id());
        registry.finish(call.id(), finished, nowNanos);
        if (call.isKeyed()) {
            keyedCalls.finish(call.description(), finished, nowNanos);
        }
        finished.error().ifPresent(metrics::onGuardRefusal);
        attemptLog.write(call, finished, state(), admission.get(), nowNanos);
        call.answer(answer(finished));
        completeIfIdle();
    }

    private void checkDataCentreState() {
        boolean nowOut = control.routingTable().ownDataCentreOut();
        if (dataCentreOut && !nowOut) {
            // A target that received no work for a while may have become cold.
            monitor.assumeCold();
        }
        dataCentreOut = nowOut;
    }

    private FinishedCall finishedCall(AttemptId id, CallState known) {
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

    private long blockedRequests() {
        String service = announcement().map(TargetAnnouncement::service).orElse("");
        return control.routingTable().blockedRequests(service);
    }

    private void announce() {
        announcedTarget().ifPresent(control::announceTarget);
    }

    /** Returns the target as it is announced to peers, or empty if the node has none. */
    private Optional<MemberTarget> announcedTarget() {
        Optional<MemberTarget> target = monitor.memberTarget();
        return leaving ? target.map(known -> known.withState(TargetState.LEAVING)) : target;
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
            waitingCalls.startQueued(nowNanos);
        }

        @Override
        public void onState(TargetState state) {
            announce();
        }

        @Override
        public void onLoad(ReportedLoad load) {
            Guard.this.onTargetLoad(load, System.nanoTime());
        }

        @Override
        public void onPollEnded() {
            waitingCalls.onPollEnded();
        }

        @Override
        public void onCrash() {
            crashWatch.onCrash(System.nanoTime());
        }
    }
}
