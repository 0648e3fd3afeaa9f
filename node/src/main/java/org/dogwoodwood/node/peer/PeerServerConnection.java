package org.dogwoodwood.node.peer;

import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.CancelFrame;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.PingFrame;
import org.dogwoodwood.codec.wire.PongFrame;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.codec.wire.WireLimits;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.node.logging.LogEvent;

/** One connection that a peer has opened to this node. */
final class PeerServerConnection implements FrameListener {

    // A peer that sent a call within this time is likely to send another one soon; other peers do
    // not need every report.
    private static final long RECENT_CALL_WINDOW_NANOS = 500_000_000L;

    private static final int MAX_HELLO_BYTES = 4 << 10;

    private final PeerServer server;
    private final Set<AttemptId> openAttempts = new HashSet<>();
    private long lastCallNanos = System.nanoTime() - RECENT_CALL_WINDOW_NANOS;
    private FrameConnection connection;
    private boolean helloReceived;
    private int silentTicks;

    private PeerServerConnection(PeerServer server) {
        this.server = server;
    }

    static PeerServerConnection accept(NetSocket socket, PeerServer server) {
        PeerServerConnection accepted = new PeerServerConnection(server);
        accepted.connection =
                FrameConnection.attach(
                        socket, accepted, server.memory(), server.sentFrames(), server.log());
        // Otherwise, whoever can connect can use up the memory for bodies.
        accepted.connection.setMaxFrameBytes(MAX_HELLO_BYTES);
        return accepted;
    }

    /** Closes the connection if no input arrives for too long; called once per ping interval. */
    void tick() {
        // Ticks are counted instead of reading a clock, so that a pause of this process does not
        // close connections whose bytes wait in the socket.
        boolean received = connection.takeReceived();
        silentTicks = received && helloReceived ? 0 : silentTicks + 1;
        PeerTimings timings = server.timings();
        if (silentTicks * timings.pingIntervalMillis() > timings.serverTimeoutMillis()) {
            server.log().write(LogEvent.PEER_SILENT, "peer", connection.remoteAddress());
            connection.close();
        }
    }

    void close() {
        connection.close();
    }

    void send(Frame frame) {
        connection.send(frame);
    }

    /** Sends an unsolicited load report if the peer has open attempts or sent a call recently. */
    void pushReport(LoadReport report) {
        boolean interested =
                !openAttempts.isEmpty()
                        || System.nanoTime() - lastCallNanos < RECENT_CALL_WINDOW_NANOS;
        if (helloReceived && interested) {
            send(PongFrame.of(PongFrame.UNSOLICITED, Optional.of(report)));
        }
    }

    @Override
    public void onFrame(Frame frame) {
        if (frame instanceof HelloFrame hello) {
            onHello(hello);
        } else if (!helloReceived) {
            refuse("A frame of type " + frame.type() + " arrived before HELLO.");
        } else {
            dispatch(frame);
        }
    }

    @Override
    public void onSkipped(AttemptId id) {
        if (helloReceived) {
            FinishedCall refused = FinishedCall.notRun(ErrorCode.GUARD_BUSY);
            reply(id, AttemptAnswer.of(refused, server.callHandler().report()));
        }
    }

    @Override
    public void onClosed() {
        server.onClosed(this);
    }

    /** Compares two optional secrets in constant time, to prevent timing attacks. */
    static boolean secretsMatch(Optional<String> one, Optional<String> other) {
        byte[] first = one.orElse("").getBytes(StandardCharsets.UTF_8);
        byte[] second = other.orElse("").getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(first, second);
    }

    private void onHello(HelloFrame hello) {
        if (helloReceived) {
            refuse("A second HELLO arrived.");
        } else if (hello.protocolVersion() != HelloFrame.PROTOCOL_VERSION) {
            refuse("Unsupported protocol version " + hello.protocolVersion() + " in HELLO.");
        } else if (!secretsMatch(hello.sharedSecret(), server.identity().sharedSecret())) {
            refuse(ErrorCode.SECRET_MISMATCH.number() + " " + ErrorCode.SECRET_MISMATCH.remedy());
        } else {
            helloReceived = true;
            connection.setMaxFrameBytes(WireLimits.MAX_FRAME_BYTES);
            server.onHello(this);
            Optional<String> own = server.identity().dataCentre();
            connection.setPlace(PeerPlace.of(own, hello.dataCentre()));
            send(server.identity().hello());
        }
    }

    private void dispatch(Frame frame) {
        if (frame instanceof CallFrame call) {
            lastCallNanos = System.nanoTime();
            openAttempts.add(call.id());
            server.callHandler().onCall(call, answer -> reply(call.id(), answer));
        } else if (frame instanceof PingFrame ping) {
            send(PongFrame.of(ping.sequence(), server.callHandler().report()));
        } else if (frame instanceof CancelFrame cancel) {
            openAttempts.remove(cancel.id());
            server.callHandler().onCancel(cancel.id());
        } else if (frame instanceof ResumeFrame resume) {
            server.callHandler().onResume(resume, answer -> reply(resume.id(), answer));
        } else if (frame instanceof ControlFrame control && !control.isReply()) {
            server.answerControl(control, this);
        } else {
            refuse("A frame of type " + frame.type() + " is not a request.");
        }
    }

    private void reply(AttemptId id, AttemptAnswer answer) {
        openAttempts.remove(id);
        try {
            send(AnswerFrame.of(id, answer.finished(), answer.report()));
        } catch (DogwoodwoodException e) {
            // The headers or body of the answer exceed a frame; the call itself has run.
            FinishedCall tooLarge = FinishedCall.unknown(ErrorCode.ANSWER_TOO_LARGE);
            send(AnswerFrame.of(id, tooLarge, answer.report()));
        }
    }

    private void refuse(String reason) {
        server.log()
                .write(LogEvent.PEER_REFUSED, "peer", connection.remoteAddress(), "reason", reason);
        connection.close();
    }
}
