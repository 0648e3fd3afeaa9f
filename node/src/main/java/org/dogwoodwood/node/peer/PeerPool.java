package org.dogwoodwood.node.peer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.settings.Endpoint;

/** Pool of the connections that this node opens to peers: one per peer, closed when idle. */
public final class PeerPool implements AttemptSender {

    /** The round trip that is assumed before the first pong, in nanoseconds (1 ms). */
    static final long DEFAULT_ROUND_TRIP_NANOS = 1_000_000L;

    private static final long IDLE_CHECK_MILLIS = 1_000;

    private final Vertx vertx;
    private final Context context;
    private final PeerIdentity identity;
    private final PeerTimings timings;
    private final BodyMemory memory;
    private final EventLog log;
    private final NetClient client;
    private final Map<Endpoint, PeerChannel> channels = new HashMap<>();
    private Consumer<LoadReport> reportListener = report -> {};
    private Runnable lateAnswerListener = () -> {};
    private final SentFrames sentFrames = SentFrames.create();

    private PeerPool(
            Vertx vertx,
            Context context,
            PeerIdentity identity,
            PeerTimings timings,
            BodyMemory memory,
            EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.context = Objects.requireNonNull(context, "context");
        this.identity = Objects.requireNonNull(identity, "identity");
        this.timings = Objects.requireNonNull(timings, "timings");
        this.memory = Objects.requireNonNull(memory, "memory");
        this.log = Objects.requireNonNull(log, "log");
        this.client =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout(timings.connectTimeoutMillis()));
    }

    /**
     * Returns a pool without connections.
     *
     * @param context the traffic loop; all methods but {@link #exchange} must be called on it
     */
    public static PeerPool create(
            Vertx vertx,
            Context context,
            PeerIdentity identity,
            PeerTimings timings,
            BodyMemory memory,
            EventLog log) {
        PeerPool pool = new PeerPool(vertx, context, identity, timings, memory, log);
        context.runOnContext(
                ignored -> {
                    vertx.setPeriodic(IDLE_CHECK_MILLIS, timer -> pool.closeIdle());
                    // One timer for all connections wakes the process less often than one per
                    // connection.
                    vertx.setPeriodic(timings.pingIntervalMillis(), timer -> pool.tick());
                });
        return pool;
    }

    /** Sets the listener for received load reports; it is called on the traffic loop. */
    public void setReportListener(Consumer<LoadReport> listener) {
        reportListener = Objects.requireNonNull(listener, "listener");
    }

    /** Sets the listener for answers to attempts that are no longer pending. */
    public void setLateAnswerListener(Runnable listener) {
        lateAnswerListener = Objects.requireNonNull(listener, "listener");
    }

    @Override
    public Future<AttemptAnswer> send(RouteTarget target, CallFrame frame) {
        return channel(endpointOf(target)).call(target.node(), frame);
    }

    @Override
    public void cancel(RouteTarget target, AttemptId id) {
        PeerChannel channel = channels.get(endpointOf(target));
        if (channel != null) {
            channel.cancel(id);
        }
    }

    @Override
    public void requestReport(RouteTarget target) {
        channel(endpointOf(target)).requestReport();
    }

    @Override
    public long roundTripNanos(RouteTarget target) {
        PeerChannel channel = channels.get(endpointOf(target));
        return channel == null ? DEFAULT_ROUND_TRIP_NANOS : channel.roundTripNanos();
    }

    /**
     * Sends a control frame; may be called on any thread.
     *
     * @return a future with the answer, completed on the caller's context
     */
    Future<ControlFrame> exchange(Endpoint peer, ControlFrame request, long timeoutMillis) {
        Context caller = vertx.getOrCreateContext();
        Promise<ControlFrame> promise = Promise.promise();
        context.runOnContext(
                ignored ->
                        channel(peer)
                                .exchange(request, timeoutMillis)
                                .onComplete(
                                        result ->
                                                caller.runOnContext(
                                                        nothing -> promise.handle(result))));
        return promise.future();
    }

    /** Closes all connections. */
    public void stop() {
        List.copyOf(channels.values()).forEach(PeerChannel::close);
        channels.clear();
        client.close();
    }

    Vertx vertx() {
        return vertx;
    }

    NetClient client() {
        return client;
    }

    PeerIdentity identity() {
        return identity;
    }

    PeerTimings timings() {
        return timings;
    }

    BodyMemory memory() {
        return memory;
    }

    /** Returns the counters of the frames that this pool sends. */
    public SentFrames sentFrames() {
        return sentFrames;
    }

    EventLog log() {
        return log;
    }

    void onReport(LoadReport report) {
        reportListener.accept(report);
    }

    void onLateAnswer() {
        lateAnswerListener.run();
    }

    private static Endpoint endpointOf(RouteTarget target) {
        return Endpoint.of(target.peerHost(), target.peerPort());
    }

    private PeerChannel channel(Endpoint endpoint) {
        return channels.computeIfAbsent(endpoint, key -> new PeerChannel(this, key));
    }

    private void tick() {
        List.copyOf(channels.values()).forEach(PeerChannel::tick);
    }

    private void closeIdle() {
        long nowNanos = System.nanoTime();
        long idleNanos = timings.idleTimeoutMillis() * 1_000_000L;
        Iterator<PeerChannel> all = channels.values().iterator();
        while (all.hasNext()) {
            PeerChannel channel = all.next();
            if (channel.isIdle(nowNanos, idleNanos)) {
                all.remove();
                channel.close();
            }
        }
    }
}
