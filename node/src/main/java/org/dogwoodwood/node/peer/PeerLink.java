package org.dogwoodwood.node.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.PingFrame;
import org.dogwoodwood.codec.wire.PongFrame;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.settings.Endpoint;

/** One connection that this node opens to a peer. */
final class PeerLink implements FrameListener {

    /** Receives the events of a link. */
    interface Owner {

        /** The peer has sent its HELLO. */
        void onReady(PeerLink link, HelloFrame hello);

        /** A frame other than HELLO and PONG has arrived. */
        void onFrame(PeerLink link, Frame frame);

        /** A pong has arrived. */
        void onPong(long roundTripNanos, Optional<LoadReport> report);

        /** A load report has arrived that does not answer the last ping. */
        void onReport(LoadReport report);

        /** The link is closed or could not be opened. */
        void onClosed(PeerLink link);

        /** Returns whether something is pending, so that a silent connection must be detected. */
        boolean isBusy();
    }

    private final Vertx vertx;
    private final Endpoint endpoint;
    private final PeerIdentity identity;
    private final PeerTimings timings;
    private final PingSchedule pings;
    private final BodyMemory memory;
    private final SentFrames sentFrames;
    private final EventLog log;
    private final Owner owner;
    private FrameConnection connection;
    private long timer = -1;
    private boolean ready;
    private boolean closed;
    private long pingSequence;
    private long pingSentNanos;

    PeerLink(
            Vertx vertx,
            Endpoint endpoint,
            PeerIdentity identity,
            PeerTimings timings,
            BodyMemory memory,
            SentFrames sentFrames,
            EventLog log,
            Owner owner) {
        this.vertx = vertx;
        this.endpoint = endpoint;
        this.identity = identity;
        this.timings = timings;
        this.pings = PingSchedule.create(timings);
        this.memory = memory;
        this.sentFrames = sentFrames;
        this.log = log;
        this.owner = owner;
    }

    void open(NetClient client) {
        timer = vertx.setTimer(2L * timings.connectTimeoutMillis(), ignored -> onHelloTimeout());
        client.connect(endpoint.port(), endpoint.host())
                .onSuccess(this::onConnected)
                .onFailure(this::onConnectFailure);
    }

    boolean isReady() {
        return ready && !closed;
    }

    void send(Frame frame) {
        pings.onSent();
        connection.send(frame);
    }

    void close() {
        if (connection != null) {
            connection.close();
        }
        onClosed();
    }

    @Override
    public void onFrame(Frame frame) {
        if (frame instanceof HelloFrame hello) {
            onHello(hello);
        } else if (frame instanceof PongFrame pong) {
            onPong(pong);
        } else if (ready) {
            owner.onFrame(this, frame);
        }
    }

    @Override
    public void onSkipped(AttemptId id) {
        FinishedCall unknown = FinishedCall.unknown(ErrorCode.OUTCOME_UNKNOWN);
        owner.onFrame(this, AnswerFrame.of(id, unknown, Optional.empty()));
    }

    @Override
    public void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        vertx.cancelTimer(timer);
        if (ready) {
            log.write(LogEvent.PEER_CLOSED, "peer", endpoint);
        }
        owner.onClosed(this);
    }

    private void onConnected(NetSocket socket) {
        if (closed) {
            socket.close();
            return;
        }
        connection = FrameConnection.attach(socket, this, memory, sentFrames, log);
        connection.send(identity.hello());
    }

    private void onConnectFailure(Throwable failure) {
        log.write(
                LogEvent.PEER_CONNECT_FAILED,
                "peer",
                endpoint,
                "message",
                String.valueOf(failure.getMessage()));
        onClosed();
    }

    private void onHelloTimeout() {
        if (!ready) {
            log.write(
                    LogEvent.PEER_CONNECT_FAILED,
                    "peer",
                    endpoint,
                    "message",
                    "No HELLO arrived in time.");
            close();
        }
    }

    private void onHello(HelloFrame hello) {
        boolean accepted =
                hello.protocolVersion() == HelloFrame.PROTOCOL_VERSION
                        && PeerServerConnection.secretsMatch(
                                hello.sharedSecret(), identity.sharedSecret());
        if (ready || closed || !accepted) {
            log.write(
                    LogEvent.PEER_REFUSED,
                    "peer",
                    endpoint,
                    "reason",
                    "HELLO is unexpected or has a wrong version or secret.");
            close();
            return;
        }
        ready = true;
        connection.setPlace(PeerPlace.of(identity.dataCentre(), hello.dataCentre()));
        vertx.cancelTimer(timer);
        log.write(LogEvent.PEER_CONNECTED, "peer", endpoint, "node", hello.node());
        owner.onReady(this, hello);
    }

    /** Sends a ping at once, which also requests a load report. */
    void ping() {
        if (!isReady()) {
            return;
        }
        pings.onPing();
        pingSequence++;
        pingSentNanos = System.nanoTime();
        connection.send(PingFrame.of(pingSequence));
    }

    /** Detects a silent connection and sends due pings; called once per ping interval. */
    void tick() {
        if (!isReady()) {
            return;
        }
        PingSchedule.Action action = pings.tick(connection.takeReceived(), owner.isBusy());
        if (action == PingSchedule.Action.PING) {
            ping();
        } else if (action == PingSchedule.Action.CLOSE) {
            log.write(LogEvent.PEER_SILENT, "peer", endpoint, "missed", pings.missedPings());
            close();
        }
    }

    private void onPong(PongFrame pong) {
        if (pong.sequence() == pingSequence) {
            owner.onPong(System.nanoTime() - pingSentNanos, pong.report());
        } else {
            pong.report().ifPresent(owner::onReport);
        }
    }
}
