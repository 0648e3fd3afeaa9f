package org.dogwoodwood.node.peer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.connections.ConnectionBudget;
import org.dogwoodwood.core.connections.ConnectionLimits;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.memory.AcceptLimit;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.memory.ProcessDescriptors;
import org.dogwoodwood.node.settings.Endpoint;

/** Accepts connections of peers and passes their frames to the guard and the control plane. */
public final class PeerServer {

    private static final ConnectionLimits LIMITS =
            ConnectionLimits.ofProcess(
                    Runtime.getRuntime().maxMemory(), ProcessDescriptors.available() / 2);

    private final Vertx vertx;
    private final PeerIdentity identity;
    private final PeerTimings timings;
    private CallHandler callHandler = new RejectingCallHandler();
    private final BodyMemory memory;
    private final EventLog log;
    private final Set<PeerServerConnection> connections = new HashSet<>();
    // A connection waits until its HELLO arrives; only such ones are closed to make room.
    private final ConnectionBudget<PeerServerConnection> budget = ConnectionBudget.of(LIMITS);
    private final AcceptLimit acceptLimit = AcceptLimit.of(LIMITS.maxConnections());
    private volatile Function<ControlFrame, Future<ControlFrame>> controlHandler =
            frame -> Future.failedFuture("This node has no control plane.");
    private SentFrames sentFrames = SentFrames.create();
    private final Map<Integer, Function<ControlFrame, Future<ControlFrame>>> trafficHandlers =
            new HashMap<>();
    private Context context;
    private NetServer server;

    private PeerServer(
            Vertx vertx,
            PeerIdentity identity,
            PeerTimings timings,
            BodyMemory memory,
            EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.identity = Objects.requireNonNull(identity, "identity");
        this.timings = Objects.requireNonNull(timings, "timings");
        this.memory = Objects.requireNonNull(memory, "memory");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Returns a server that refuses calls until {@link #setCallHandler}. */
    public static PeerServer create(
            Vertx vertx,
            PeerIdentity identity,
            PeerTimings timings,
            BodyMemory memory,
            EventLog log) {
        return new PeerServer(vertx, identity, timings, memory, log);
    }

    /**
     * Starts listening; must be called on the traffic loop, again if it fails.
     *
     * @param endpoint the address of the peer port, not null
     * @return a future with the port in use
     */
    public Future<Integer> start(Endpoint endpoint) {
        context = vertx.getOrCreateContext();
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        server.connectHandler(this::onConnection);
        return server.listen(endpoint.port(), endpoint.host())
                .onSuccess(ignored -> startPings())
                .map(NetServer::actualPort);
    }

    private void startPings() {
        vertx.setPeriodic(
                timings.pingIntervalMillis(),
                ignored -> Set.copyOf(connections).forEach(PeerServerConnection::tick));
    }

    /** Closes the port and all connections. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /** Sets the counters of sent frames; must be called before {@link #start}. */
    public void setSentFrames(SentFrames counters) {
        sentFrames = Objects.requireNonNull(counters, "counters");
    }

    /** Sets the guard; must be called on the traffic loop. */
    public void setCallHandler(CallHandler handler) {
        callHandler = new BodyLimitedCalls(handler, memory);
    }

    /** Sends a load report to the peers that send calls; must be called on the traffic loop. */
    public void pushReport(LoadReport report) {
        connections.forEach(connection -> connection.pushReport(report));
    }

    /** Sets the handler of control frames; may be called on any thread. */
    public void setControlHandler(Function<ControlFrame, Future<ControlFrame>> handler) {
        controlHandler = Objects.requireNonNull(handler, "handler");
    }

    /**
     * Sets the handler of a type of control frames that the traffic loop answers itself; must be
     * called on the traffic loop.
     *
     * @param type the type of the request frame
     * @param handler returns the reply; called on the traffic loop
     */
    public void setTrafficHandler(int type, Function<ControlFrame, Future<ControlFrame>> handler) {
        trafficHandlers.put(type, handler);
    }

    PeerIdentity identity() {
        return identity;
    }

    PeerTimings timings() {
        return timings;
    }

    CallHandler callHandler() {
        return callHandler;
    }

    BodyMemory memory() {
        return memory;
    }

    SentFrames sentFrames() {
        return sentFrames;
    }

    EventLog log() {
        return log;
    }

    void answerControl(ControlFrame request, PeerServerConnection connection) {
        trafficHandlers
                .getOrDefault(request.type(), controlHandler)
                .apply(request)
                .onSuccess(
                        reply ->
                                context.runOnContext(
                                        ignored ->
                                                connection.send(
                                                        reply.withRequestNumber(
                                                                request.requestNumber()))));
    }

    void onClosed(PeerServerConnection connection) {
        connections.remove(connection);
        budget.close(connection);
    }

    void onHello(PeerServerConnection connection) {
        budget.onBusy(connection);
    }

    private void onConnection(NetSocket socket) {
        acceptLimit.onOpened(((ConnectionBase) socket).channel());
        PeerServerConnection accepted = PeerServerConnection.accept(socket, this);
        connections.add(accepted);
        budget.open(accepted).forEach(PeerServerConnection::close);
    }
}
