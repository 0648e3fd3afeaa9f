package org.dogwoodwood.node.peer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.Endpoint;

/** Accepts connections of peers and hands their frames to the guard and to control. */
public final class PeerServer {

    private final Vertx vertx;
    private final PeerIdentity identity;
    private final PeerTimes times;
    private CallHandler calls = new NoGuard();
    private final EventLog log;
    private final Set<ServerPeer> peers = new HashSet<>();
    private volatile Function<ControlFrame, Future<ControlFrame>> controlHandler =
            frame -> Future.failedFuture("This node has no control plane.");
    private Context context;
    private NetServer server;

    private PeerServer(Vertx vertx, PeerIdentity identity, PeerTimes times, EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.identity = Objects.requireNonNull(identity, "identity");
        this.times = Objects.requireNonNull(times, "times");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Returns a server that refuses calls until {@link #setCallHandler}. */
    public static PeerServer create(
            Vertx vertx, PeerIdentity identity, PeerTimes times, EventLog log) {
        return new PeerServer(vertx, identity, times, log);
    }

    /**
     * Listens; must be called on the traffic loop.
     *
     * @param endpoint the address of the peer port, not null
     * @return the port in use
     */
    public Future<Integer> start(Endpoint endpoint) {
        context = vertx.getOrCreateContext();
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        server.connectHandler(this::onConnection);
        vertx.setPeriodic(
                times.pingMillis(), ignored -> Set.copyOf(peers).forEach(ServerPeer::tick));
        return server.listen(endpoint.port(), endpoint.host()).map(NetServer::actualPort);
    }

    /** Closes the port and all connections. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /** Sets the guard; must be called on the traffic loop. */
    public void setCallHandler(CallHandler handler) {
        calls = Objects.requireNonNull(handler, "handler");
    }

    /** Tells the peers that send calls the load; must be called on the traffic loop. */
    public void pushReport(LoadReport report) {
        peers.forEach(peer -> peer.pushReport(report));
    }

    /** Sets what answers control frames; may be called on any thread. */
    public void setControlHandler(Function<ControlFrame, Future<ControlFrame>> handler) {
        controlHandler = Objects.requireNonNull(handler, "handler");
    }

    PeerIdentity identity() {
        return identity;
    }

    PeerTimes times() {
        return times;
    }

    CallHandler calls() {
        return calls;
    }

    EventLog log() {
        return log;
    }

    void answerControl(ControlFrame request, ServerPeer peer) {
        controlHandler
                .apply(request)
                .onSuccess(
                        reply ->
                                context.runOnContext(
                                        ignored ->
                                                peer.send(
                                                        reply.withRequestNumber(
                                                                request.requestNumber()))));
    }

    void onClosed(ServerPeer peer) {
        peers.remove(peer);
    }

    private void onConnection(NetSocket socket) {
        peers.add(ServerPeer.over(socket, this));
    }
}
