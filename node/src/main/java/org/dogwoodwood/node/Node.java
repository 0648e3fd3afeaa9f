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
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.peer.DefaultPeerTransport;
import org.dogwoodwood.node.peer.PeerIdentity;
import org.dogwoodwood.node.peer.PeerPool;
import org.dogwoodwood.node.peer.PeerServer;
import org.dogwoodwood.node.peer.PeerTimes;
import org.dogwoodwood.node.peer.RoutedAttemptSender;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.settings.NodeSettings;

/** One node: the ingress and the guard on the traffic loop, and the control plane beside them. */
public final class Node {

    private static final long IDLE_POLL_MILLIS = 20;

    // The time to write the last answers before the ports are closed.
    private static final long FINAL_WRITE_NANOS = 100_000_000L;

    // Without the platform log keys cannot be handed over; the next owner then waits for the
    // window.
    private static final long HANDOVER_TIMEOUT_NANOS = 5_000_000_000L;

    private final Vertx vertx;
    private final NodeSettings settings;
    private final PeerIdentity identity;
    private final NodeParts parts;
    private final EventLog log;
    private final NodeMetrics metrics = NodeMetrics.create();
    private final AdminRouter adminRouter = AdminRouter.create();
    private final AdminServer adminServer;
    private TrafficLoop loop;
    private PeerPool pool;
    private PeerServer peerServer;
    private ControlPlane control;
    private Optional<KeyService> keyService = Optional.empty();
    private Guard guard;
    private IngressServer ingressServer;
    private int callerPort;
    private int callerHttp2Port;
    private int peerPort;
    private int adminPort;
    private volatile boolean leaving;

    private Node(
            Vertx vertx, NodeSettings settings, long incarnation, NodeParts parts, EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.log = Objects.requireNonNull(log, "log");
        this.identity = new PeerIdentity(settings.nodeId(), incarnation, settings.sharedSecret());
        this.adminServer = AdminServer.create(vertx, adminRouter, settings.sharedSecret(), log);
    }

    /**
     * Returns a node that is not started.
     *
     * @param incarnation the incarnation of this process, usually its start in wall-clock
     *     milliseconds
     * @param parts what other packages contribute, not null
     */
    public static Node create(
            Vertx vertx, NodeSettings settings, long incarnation, NodeParts parts, EventLog log) {
        return new Node(vertx, settings, incarnation, parts, log);
    }

    /** Opens the ports; the future completes when the node accepts requests. */
    public Future<Void> start() {
        return TrafficLoop.deploy(vertx)
                .compose(
                        deployed -> {
                            loop = deployed;
                            return loop.run(this::startPeerTransport);
                        })
                .compose(ignored -> startControlPlane())
                .compose(ignored -> loop.run(this::startTraffic))
                .compose(ignored -> loop.run(this::startAdmin))
                .map(
                        port -> {
                            adminPort = port;
                            logStarted();
                            return null;
                        });
    }

    /**
     * Stops gracefully: announces that the node is leaving, ends what is in flight and closes the
     * ports. The future completes when nothing is left.
     */
    public Future<Void> stop() {
        leaving = true;
        log.write(LogEvent.NODE_LEAVING, "node", identity.node());
        int leaveMillis = settings.budgets().leaveMillis();
        long limitMillis = leaveMillis + settings.budgets().stopSeconds() * 1_000L;
        long untilNanos = System.nanoTime() + limitMillis * 1_000_000L;
        // Counts from here, however long it takes to announce the leaving.
        delay(leaveMillis)
                .onSuccess(ignored -> loop.run(() -> refuseUnfinishableRequests(untilNanos)));
        return loop.run(this::startKeyHandover)
                .compose(ignored -> control.announceLeaving())
                .recover(failure -> Future.succeededFuture())
                .compose(ignored -> loop.run(this::drainTraffic))
                .compose(ignored -> delay(leaveMillis))
                .compose(ignored -> awaitIdle(untilNanos))
                .compose(ignored -> awaitHandover(System.nanoTime() + HANDOVER_TIMEOUT_NANOS))
                .compose(ignored -> closeAll());
    }

    /** Ends at once, as a crash would, without finishing anything. */
    public Future<Void> kill() {
        return closeAll();
    }

    /** Returns the port of callers that is in use. */
    public int callerPort() {
        return callerPort;
    }

    /** Returns the port of callers for HTTP/2 that is in use, 0 if there is none. */
    public int callerHttp2Port() {
        return callerHttp2Port;
    }

    /** Returns the port of peers that is in use. */
    public int peerPort() {
        return peerPort;
    }

    /** Returns the admin port that is in use. */
    public int adminPort() {
        return adminPort;
    }

    /** Returns the node id and incarnation. */
    public PeerIdentity identity() {
        return identity;
    }

    /** Returns whether the node may be sent requests; may be called on any thread. */
    public boolean isReady() {
        return !leaving && control != null && control.isReady();
    }

    /**
     * Takes in what the target beside this node announces; may be called on any thread.
     *
     * @param announcement the announcement, not null
     * @return completes when the guard keeps to it
     */
    public Future<Void> announceTarget(TargetAnnouncement announcement) {
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

    private Future<Void> startPeerTransport() {
        pool = PeerPool.create(vertx, loop.context(), identity, PeerTimes.DEFAULT, log);
        pool.setLateAnswerListener(metrics::onLateAnswer);
        peerServer = PeerServer.create(vertx, identity, PeerTimes.DEFAULT, log);
        return listen(peerServer.start(settings.peerAddress()), "peer", settings.peerAddress())
                .map(
                        port -> {
                            peerPort = port;
                            return null;
                        });
    }

    private Future<Void> startControlPlane() {
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
        return control.start();
    }

    private Future<Void> startTraffic() {
        MeasurementBudget budget =
                MeasurementBudget.of(
                        settings.budgets().pollsPerSecond(),
                        settings.budgets().pollCallShare(),
                        System.nanoTime());
        Optional<IdempotencyRegistry> registry = keyService.map(service -> service);
        guard =
                Guard.create(
                        vertx, identity, control, registry, parts.target(), budget, metrics, log);
        keyService.ifPresent(service -> guard.setServiceListener(service::onOwnService));
        guard.start();
        keyService.ifPresent(KeyService::start);
        peerServer.setCallHandler(guard);
        settings.target()
                .ifPresent(
                        target ->
                                guard.onAnnouncement(
                                        new TargetAnnouncement(
                                                target.service(),
                                                target.address(),
                                                target.slots(),
                                                target.connections(),
                                                target.coldSlots(),
                                                true,
                                                false)));
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
        pool.setReportListener(ingress::onReport);
        guard.setReportListener(
                report -> {
                    ingress.onReport(report);
                    peerServer.pushReport(report);
                });
        ingress.setSender(
                RoutedAttemptSender.create(identity.node(), guard, pool, ingress::onReport));
        addGauges();
        NodeRoutes.add(adminRouter, loop, guard, control, metrics, () -> leaving);
        IngressLimits limits =
                new IngressLimits(
                        settings.budgets().slowSenderMillis(),
                        IngressLimits.DEFAULT.maxTimeoutMillis(),
                        IngressLimits.DEFAULT.maxHeaderBytes());
        ingressServer = IngressServer.create(vertx, ingress, limits, parts.callers(), metrics, log);
        Endpoint address = settings.callerAddress();
        return listen(ingressServer.start(address), "caller", address)
                .compose(
                        port -> {
                            callerPort = port;
                            return startHttp2();
                        });
    }

    private KeyRouter keyRouter() {
        return keyService.isPresent() ? keyService.get() : KeyRouter.none();
    }

    private Future<Integer> startAdmin() {
        Endpoint address = settings.adminAddress();
        return listen(adminServer.start(address), "admin", address);
    }

    private static Future<Integer> listen(Future<Integer> port, String name, Endpoint address) {
        return port.recover(
                failure ->
                        Future.failedFuture(
                                new DogwoodwoodException(
                                        ErrorCode.ADDRESS_IN_USE,
                                        "Cannot listen on " + name + "_address " + address + ".",
                                        failure)));
    }

    private Future<Void> startHttp2() {
        if (settings.callerHttp2Address().isEmpty()) {
            return Future.succeededFuture();
        }
        Endpoint address = settings.callerHttp2Address().get();
        return listen(ingressServer.startHttp2(address), "caller_http2", address)
                .map(
                        port -> {
                            callerHttp2Port = port;
                            return null;
                        });
    }

    private void addGauges() {
        metrics.addGauge("dogwoodwood_guard_pending_calls", guard::pending);
        metrics.addGauge("dogwoodwood_target_polls_total", () -> (int) guard.polls());
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

    // Both sides keep serving: calls of peers that have not heard of the leaving are refused as
    // not run, and requests of callers go to other targets.
    private Future<Void> drainTraffic() {
        guard.leave();
        ingressServer.leave();
        return Future.succeededFuture();
    }

    // Callers had their time to leave; those who stay get only what can still be finished.
    private Future<Void> refuseUnfinishableRequests(long untilNanos) {
        ingressServer.finishBy(untilNanos - FINAL_WRITE_NANOS);
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
     * Returns how many requests are pending. If none is, or if the time is over, requests are
     * refused from the same turn of the loop on, so that none is passed on before the ports close.
     */
    private int refuseNewRequestsIfIdle(long untilNanos) {
        int pending = guard.pending() + ingressServer.pending();
        if (pending == 0 || System.nanoTime() - untilNanos > 0) {
            ingressServer.refuse();
        }
        return pending;
    }

    private Future<Void> startKeyHandover() {
        keyService.ifPresent(KeyService::leave);
        return Future.succeededFuture();
    }

    private Future<Void> awaitHandover(long untilNanos) {
        return loop.run(
                        () ->
                                Future.succeededFuture(
                                        keyService.map(KeyService::hasHandedOver).orElse(true)))
                .compose(
                        done ->
                                done || System.nanoTime() - untilNanos > 0
                                        ? Future.<Void>succeededFuture()
                                        : delay(IDLE_POLL_MILLIS)
                                                .compose(ignored -> awaitHandover(untilNanos)));
    }

    private Future<Void> closeAll() {
        return loop.run(() -> ingressServer.stop())
                .compose(ignored -> loop.run(() -> peerServer.stop()))
                .compose(
                        ignored ->
                                loop.run(
                                        () -> {
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
