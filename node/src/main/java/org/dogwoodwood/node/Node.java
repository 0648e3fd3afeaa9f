package org.dogwoodwood.node;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.measurement.MeasurementBudget;
import org.dogwoodwood.node.admin.AdminRouter;
import org.dogwoodwood.node.admin.AdminServer;
import org.dogwoodwood.node.control.ControlContext;
import org.dogwoodwood.node.control.ControlPlane;
import org.dogwoodwood.node.guard.Guard;
import org.dogwoodwood.node.guard.TargetAnnouncement;
import org.dogwoodwood.node.ingress.Ingress;
import org.dogwoodwood.node.ingress.IngressLimits;
import org.dogwoodwood.node.ingress.IngressServer;
import org.dogwoodwood.node.ingress.KeyRouter;
import org.dogwoodwood.node.keys.KeyService;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.peer.DefaultPeerTransport;
import org.dogwoodwood.node.peer.PeerIdentity;
import org.dogwoodwood.node.peer.PeerPool;
import org.dogwoodwood.node.peer.PeerServer;
import org.dogwoodwood.node.peer.PeerTimings;
import org.dogwoodwood.node.peer.PeerTransport;
import org.dogwoodwood.node.peer.RoutedAttemptSender;
import org.dogwoodwood.node.ports.PortOpener;
import org.dogwoodwood.node.quota.QuotaService;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.NodeSettings;

/**
 * A node, which consists of an ingress and a guard on one event loop, a control plane and the ports
 * of callers, peers and operators.
 */
public final class Node {

    private static final long IDLE_POLL_MILLIS = 20;

    // Reserved for writing the final answers before the ports are closed.
    private static final long FINAL_WRITE_NANOS = 100_000_000L;

    private final Vertx vertx;
    private final NodeSettings settings;
    private final PeerIdentity identity;
    private final NodeComponents parts;
    private final EventLog log;
    private final NodeMetrics metrics;
    private final AdminRouter adminRouter = AdminRouter.create();
    private final AdminServer adminServer;
    private final PortOpener ports;
    private TrafficLoop loop;
    private PeerPool pool;
    private PeerServer peerServer;
    private ControlPlane control;
    private Optional<KeyService> keyService = Optional.empty();
    private Guard guard;
    private QuotaService quotaService;
    private IngressServer ingressServer;
    private int callerPort;
    private int callerHttp2Port;
    private int peerPort;
    private int adminPort;
    private volatile boolean started;
    private volatile boolean leaving;

    private Node(
            Vertx vertx,
            NodeSettings settings,
            long incarnation,
            NodeComponents parts,
            EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.metrics = parts.metrics();
        this.log = Objects.requireNonNull(log, "log");
        this.identity = PeerIdentity.of(settings, incarnation);
        this.adminServer = AdminServer.create(vertx, adminRouter, settings.sharedSecret(), log);
        this.ports = PortOpener.create(vertx, parts.portWait(), log);
    }

    /**
     * Returns a node that is not started.
     *
     * @param vertx creates the event loops, servers and timers of the node, not null
     * @param settings the settings, not null
     * @param incarnation the incarnation of this process, usually its start time in wall-clock
     *     milliseconds
     * @param parts the control plane and the protocols that the node uses, not null
     * @param log receives the events of the node, not null
     */
    public static Node create(
            Vertx vertx,
            NodeSettings settings,
            long incarnation,
            NodeComponents parts,
            EventLog log) {
        return new Node(vertx, settings, incarnation, parts, log);
    }

    /**
     * Returns the opener of the ports of this node. Ports that an adapter opens with it before
     * {@link #start} belong to the node, which starts when all of them are open.
     */
    public PortOpener ports() {
        return ports;
    }

    /**
     * Opens the ports and returns a future that completes when the node accepts requests. A port
     * that is in use is waited for, until {@link PortOpener#stopWaiting} is called.
     */
    public Future<Void> start() {
        metrics.addGauge("dogwoodwood_waiting_ports", ports::waitingPorts);
        return TrafficLoop.deploy(vertx)
                .compose(
                        deployed -> {
                            loop = deployed;
                            return loop.run(this::openPeerPort);
                        })
                .compose(ignored -> loop.run(this::openCallerPort))
                .compose(ignored -> loop.run(this::openHttp2Port))
                .compose(ignored -> loop.run(this::openAdminPort))
                // An outgoing connection may be given the number of a port that is not open yet.
                .compose(ignored -> ports.allOpen())
                .compose(ignored -> loop.run(this::startControlPlane))
                .compose(ignored -> loop.run(this::startTraffic))
                .onSuccess(ignored -> logStarted());
    }

    /**
     * Stops gracefully: announces that the node is leaving, waits for calls in flight and for the
     * handover of keys, both with a limit, and closes the ports.
     *
     * @return completes when all ports are closed
     */
    public Future<Void> stop() {
        return stop(StopSchedule.of(settings.budgets(), System.nanoTime()));
    }

    /** Stops as {@link #stop()} does, within the times of a schedule. */
    Future<Void> stop(StopSchedule schedule) {
        leaving = true;
        log.write(LogEvent.NODE_LEAVING, "node", identity.node());
        log.write(LogEvent.TRAFFIC_TOTALS, metrics.totalFields());
        // Starts before the announcement, so that a slow announcement does not extend this period.
        long leaveMillis = schedule.leaveMillis(System.nanoTime());
        delay(leaveMillis)
                .onSuccess(ignored -> loop.run(() -> refuseUnfinishableRequests(schedule)));
        return loop.run(this::startKeyHandover)
                .compose(ignored -> control.announceLeaving())
                .recover(failure -> Future.succeededFuture())
                .compose(ignored -> loop.run(this::drainTraffic))
                .compose(ignored -> delay(leaveMillis))
                .compose(ignored -> awaitIdle(schedule.untilNanos()))
                .compose(ignored -> loop.run(this::awaitHandover))
                .compose(ignored -> closeAll());
    }

    /** Closes all ports at once without finishing calls in flight, as a crash would. */
    public Future<Void> kill() {
        return closeAll();
    }

    /** Returns the port on which the node accepts requests of callers. */
    public int callerPort() {
        return callerPort;
    }

    /** Returns the port for clear-text HTTP/2 of callers, 0 if there is none. */
    public int callerHttp2Port() {
        return callerHttp2Port;
    }

    /** Returns the port on which the node accepts connections of peers. */
    public int peerPort() {
        return peerPort;
    }

    /** Returns the port on which the node accepts admin requests. */
    public int adminPort() {
        return adminPort;
    }

    /** Returns the node id and incarnation. */
    public PeerIdentity identity() {
        return identity;
    }

    /** Returns whether callers may send requests to the node; may be called on any thread. */
    public boolean isReady() {
        return started && !leaving && control.isReady();
    }

    /**
     * Applies an announcement of the target beside this node; may be called on any thread.
     *
     * @param announcement the announcement, not null
     * @return completes when the guard has applied it; fails if the node has not started
     */
    public Future<Void> updateTarget(TargetAnnouncement announcement) {
        if (!started) {
            return Future.failedFuture(
                    new DogwoodwoodException(
                            ErrorCode.NO_CONFIGURATION, "This node has not started yet."));
        }
        return loop.run(
                () -> {
                    guard.onAnnouncement(announcement);
                    return Future.succeededFuture();
                });
    }

    /** Returns the metrics. */
    public NodeMetrics metrics() {
        return metrics;
    }

    private Future<Void> openPeerPort() {
        BodyMemory memory = parts.bodyMemory();
        pool = PeerPool.create(vertx, loop.context(), identity, PeerTimings.DEFAULT, memory, log);
        pool.setLateAnswerListener(metrics::onLateAnswer);
        peerServer = PeerServer.create(vertx, identity, PeerTimings.DEFAULT, memory, log);
        peerServer.setSentFrames(pool.sentFrames());
        pool.sentFrames().publish(metrics);
        Endpoint address = settings.peerAddress();
        return ports.open("peer", address, () -> peerServer.start(address))
                .onSuccess(port -> peerPort = port)
                .mapEmpty();
    }

    private void createControlPlane() {
        DefaultPeerTransport transport = DefaultPeerTransport.create(pool, peerServer);
        control =
                parts.control()
                        .create(
                                new ControlContext(
                                        vertx,
                                        settings,
                                        identity,
                                        Endpoint.of(settings.peerAddress().host(), peerPort),
                                        settings.callerAddress(),
                                        transport,
                                        adminRouter,
                                        log));
        keyService =
                control.membershipLog()
                        .map(
                                members ->
                                        KeyService.create(
                                                vertx,
                                                loop.context(),
                                                transport,
                                                control,
                                                members,
                                                identity));
    }

    private Future<Void> openCallerPort() {
        createControlPlane();
        MeasurementBudget budget =
                MeasurementBudget.of(
                        settings.budgets().pollsPerSecond(),
                        settings.budgets().pollCallShare(),
                        System.nanoTime());
        Optional<IdempotencyRegistry> registry = keyService.map(service -> service);
        guard =
                Guard.create(
                        vertx, identity, control, registry, parts.target(), budget, metrics, log);
        keyService.ifPresent(service -> guard.setServiceListener(service::setService));
        Ingress ingress =
                Ingress.create(
                        vertx,
                        identity,
                        settings.dataCentre(),
                        control,
                        keyRouter(),
                        metrics,
                        new SplittableRandom(identity.incarnation() ^ identity.node().hashCode()),
                        log);
        PeerTransport transport = DefaultPeerTransport.create(pool, peerServer);
        quotaService =
                QuotaService.create(
                        vertx, loop.context(), settings, control, transport, metrics, log);
        ingress.setQuota(quotaService);
        pool.setReportListener(ingress::onReport);
        guard.setReportListener(
                report -> {
                    ingress.onReport(report);
                    peerServer.pushReport(report);
                });
        ingress.setSender(
                RoutedAttemptSender.create(identity.node(), guard, pool, ingress::onReport));
        addGauges();
        NodeRoutes.add(adminRouter, this::updateTarget, control, metrics, () -> leaving);
        IngressLimits limits =
                IngressLimits.DEFAULT.withSlowSenderMillis(settings.budgets().slowSenderMillis());
        ingressServer =
                IngressServer.create(
                        vertx, ingress, limits, parts.callers(), parts.bodyMemory(), metrics, log);
        Endpoint address = settings.callerAddress();
        return ports.open("caller", address, () -> ingressServer.start(address))
                .onSuccess(port -> callerPort = port)
                .mapEmpty();
    }

    private Future<Void> startControlPlane() {
        quotaService.start(peerServer);
        return control.start();
    }

    private Future<Void> startTraffic() {
        guard.start();
        keyService.ifPresent(KeyService::start);
        peerServer.setCallHandler(guard);
        settings.target().map(TargetAnnouncement::of).ifPresent(guard::onAnnouncement);
        started = true;
        return Future.succeededFuture();
    }

    private KeyRouter keyRouter() {
        return keyService.isPresent() ? keyService.get() : KeyRouter.none();
    }

    private Future<Void> openAdminPort() {
        Endpoint address = settings.adminAddress();
        return ports.open("admin", address, () -> adminServer.start(address))
                .onSuccess(port -> adminPort = port)
                .mapEmpty();
    }

    private Future<Void> openHttp2Port() {
        if (settings.callerHttp2Address().isEmpty()) {
            return Future.succeededFuture();
        }
        Endpoint address = settings.callerHttp2Address().get();
        return ports.open("caller_http2", address, () -> ingressServer.startHttp2(address))
                .onSuccess(port -> callerHttp2Port = port)
                .mapEmpty();
    }

    private void addGauges() {
        metrics.addGauge("dogwoodwood_guard_pending_calls", guard::pendingCalls);
        metrics.addGauge("dogwoodwood_held_body_bytes", parts.bodyMemory()::heldBytes);
        metrics.addGauge(
                "dogwoodwood_ingress_pending_requests",
                () -> ingressServer == null ? 0 : ingressServer.pending());
    }

    private void logStarted() {
        log.write(
                LogEvent.NODE_STARTED,
                "node",
                identity.node(),
                "incarnation",
                identity.incarnation(),
                "caller_port",
                callerPort,
                "peer_port",
                peerPort,
                "admin_port",
                adminPort);
    }

    // The ports stay open: the guard refuses calls of peers that do not yet know that this node
    // is leaving, with outcome not-run, and the ingress routes requests of callers to other
    // targets.
    private Future<Void> drainTraffic() {
        guard.leave();
        ingressServer.drain();
        return Future.succeededFuture();
    }

    // Callers have had time to switch to other nodes; from now on, only requests whose deadline
    // lies before the end of the stop are accepted.
    private Future<Void> refuseUnfinishableRequests(StopSchedule schedule) {
        ingressServer.refuseDeadlinesAfter(schedule.untilNanos() - FINAL_WRITE_NANOS);
        return Future.succeededFuture();
    }

    private Future<Void> awaitIdle(long untilNanos) {
        return loop.run(() -> Future.succeededFuture(refuseNewRequestsIfIdle(untilNanos)))
                .compose(
                        pending -> {
                            if (pending == 0) {
                                return Future.succeededFuture();
                            }
                            if (System.nanoTime() - untilNanos > 0) {
                                log.write(LogEvent.STOP_INCOMPLETE, "pending", pending);
                                return Future.succeededFuture();
                            }
                            return delay(IDLE_POLL_MILLIS)
                                    .compose(ignored -> awaitIdle(untilNanos));
                        });
    }

    /**
     * Returns the number of pending requests. If there is none, or if the time has expired, starts
     * to refuse new requests in the same event loop iteration, so that none can be forwarded
     * between this check and the closing of the ports.
     */
    private int refuseNewRequestsIfIdle(long untilNanos) {
        int pending = guard.pendingCalls() + ingressServer.pending();
        if (pending == 0 || System.nanoTime() - untilNanos > 0) {
            ingressServer.refuseNewRequests();
        }
        return pending;
    }

    private Future<Void> awaitHandover() {
        return keyService.map(KeyService::awaitHandover).orElseGet(Future::succeededFuture);
    }

    private Future<Void> startKeyHandover() {
        keyService.ifPresent(KeyService::leave);
        return Future.succeededFuture();
    }

    private Future<Void> closeAll() {
        return loop.run(() -> ingressServer.stop())
                .compose(ignored -> loop.run(() -> peerServer.stop()))
                .compose(
                        ignored ->
                                loop.run(
                                        () -> {
                                            quotaService.stop();
                                            pool.stop();
                                            return Future.<Void>succeededFuture();
                                        }))
                .compose(ignored -> control.stop())
                .compose(ignored -> loop.run(adminServer::stop))
                .onSuccess(ignored -> log.write(LogEvent.NODE_STOPPED, "node", identity.node()));
    }

    private Future<Void> delay(long millis) {
        Promise<Void> promise = Promise.promise();
        vertx.setTimer(Math.max(1, millis), ignored -> promise.complete());
        return promise.future();
    }
}
