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
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.node.logging.LogEvent;

/** One connection that a peer has opened to this node. */
final class ServerPeer implements FrameListener {

    // A peer that sent a call within this time is likely to send the next one soon; the others have
    // no use for each report.
    private static final long RECENT_CALL_NANOS = 500_000_000L;

    private final PeerServer server;
    private final Set<AttemptId> open = new HashSet<>();
    private long calledNanos = System.nanoTime() - RECENT_CALL_NANOS;
    private FrameConnection connection;
    private boolean greeted;
    private int silentTicks;

    private ServerPeer(PeerServer server) {
        this.server = server;
    }

    static ServerPeer over(NetSocket socket, PeerServer server) {
        ServerPeer peer = new ServerPeer(server);
        peer.connection = FrameConnection.over(socket, peer, server.log());
        return peer;
    }

    /** Closes the connection if nothing has arrived for too long; called once per ping time. */
    void tick() {
        // Counting ticks instead of reading a clock keeps a pause of this process from closing
        // connections whose bytes wait in the socket.
        silentTicks = connection.takeHeard() ? 0 : silentTicks + 1;
        PeerTimes times = server.times();
        if (silentTicks * times.pingMillis() > times.serverSilenceMillis()) {
            server.log().write(LogEvent.PEER_SILENT, "peer", connection.remoteAddress());
            connection.close();
        }
    }

    void send(Frame frame) {
        connection.send(frame);
    }

    /** Sends a report that answers no ping, if the peer has sent a call recently. */
    void pushReport(LoadReport report) {
        boolean interested = !open.isEmpty() || System.nanoTime() - calledNanos < RECENT_CALL_NANOS;
        if (greeted && interested) {
            send(PongFrame.of(PongFrame.UNASKED, Optional.of(report)));
        }
    }

    @Override
    public void onFrame(Frame frame) {
        if (frame instanceof HelloFrame hello) {
            onHello(hello);
        } else if (!greeted) {
            refuse("A frame of type " + frame.type() + " arrived before HELLO.");
        } else {
            dispatch(frame);
        }
    }

    @Override
    public void onClosed() {
        server.onClosed(this);
    }

    /** Returns whether two optional secrets are equal, in a time that does not tell where not. */
    static boolean sameSecret(Optional<String> one, Optional<String> other) {
        byte[] first = one.orElse("").getBytes(StandardCharsets.UTF_8);
        byte[] second = other.orElse("").getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(first, second);
    }

    private void onHello(HelloFrame hello) {
        if (hello.protocolVersion() != HelloFrame.PROTOCOL_VERSION) {
            refuse("A peer speaks protocol version " + hello.protocolVersion() + ".");
        } else if (!sameSecret(hello.sharedSecret(), server.identity().sharedSecret())) {
            refuse(ErrorCode.SECRET_MISMATCH.number() + " " + ErrorCode.SECRET_MISMATCH.remedy());
        } else {
            greeted = true;
            send(server.identity().hello());
        }
    }

    private void dispatch(Frame frame) {
        if (frame instanceof CallFrame call) {
            calledNanos = System.nanoTime();
            open.add(call.id());
            server.calls().onCall(call, answer -> reply(call.id(), answer));
        } else if (frame instanceof PingFrame ping) {
            send(PongFrame.of(ping.sequence(), server.calls().report()));
        } else if (frame instanceof CancelFrame cancel) {
            open.remove(cancel.id());
            server.calls().onCancel(cancel.id());
        } else if (frame instanceof ResumeFrame resume) {
            server.calls().onResume(resume, answer -> reply(resume.id(), answer));
        } else if (frame instanceof ControlFrame control && !control.isReply()) {
            server.answerControl(control, this);
        } else {
            refuse("A frame of type " + frame.type() + " is no request.");
        }
    }

    private void reply(AttemptId id, AttemptAnswer answer) {
        open.remove(id);
        try {
            send(AnswerFrame.of(id, answer.finished(), answer.report()));
        } catch (DogwoodwoodException e) {
            // The answer's headers or body exceed a frame; the call itself has run.
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
