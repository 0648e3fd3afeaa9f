package org.dogwoodwood.node.support;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.FrameDecoder;
import org.dogwoodwood.codec.wire.FrameEncoder;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.PingFrame;
import org.dogwoodwood.codec.wire.PongFrame;
import org.dogwoodwood.codec.wire.WireLimits;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.settings.Endpoint;

/** A connection to a node's port for peers that sends any frames in any order. */
public final class RawPeer {

    private final NetSocket socket;
    private final RecordParser parser = RecordParser.newFixed(WireLimits.PREFIX_BYTES);
    private final List<AnswerFrame> answers = new CopyOnWriteArrayList<>();
    private boolean expectsPrefix = true;
    private volatile boolean closed;
    private volatile long lastPong;

    private RawPeer(NetSocket socket) {
        this.socket = socket;
    }

    /** Connects and sends HELLO. */
    public static RawPeer connect(Vertx vertx, Endpoint node) {
        RawPeer peer =
                new RawPeer(Waiting.get(vertx.createNetClient().connect(node.port(), node.host())));
        peer.parser.handler(peer::onRecord);
        peer.socket.handler(peer.parser);
        peer.socket.closeHandler(ignored -> peer.closed = true);
        peer.send(HelloFrame.of(NodeId.of("raw"), 1, Optional.empty()));
        return peer;
    }

    public void send(Frame... frames) {
        for (Frame frame : frames) {
            socket.write(Buffer.buffer(FrameEncoder.encode(frame)));
        }
    }

    /** Sends the first half of a frame and closes the connection. */
    public void sendHalf(Frame frame) {
        byte[] bytes = FrameEncoder.encode(frame);
        socket.write(Buffer.buffer(bytes).slice(0, bytes.length / 2));
        close();
    }

    /** Waits until the node has processed all frames that were sent before. */
    public void flush(long sequence) {
        send(PingFrame.of(sequence));
        Waiting.until("a pong arrives", () -> lastPong == sequence);
    }

    public void close() {
        Waiting.get(socket.close());
    }

    /** Returns whether the node has closed the connection. */
    public boolean isClosed() {
        return closed;
    }

    /** Returns the answers that have arrived, in order. */
    public List<AnswerFrame> answers() {
        return answers;
    }

    private void onRecord(Buffer record) {
        parser.fixedSizeMode(expectsPrefix ? record.getInt(0) : WireLimits.PREFIX_BYTES);
        expectsPrefix = !expectsPrefix;
        if (expectsPrefix) {
            onFrame(FrameDecoder.decode(record.getBytes()));
        }
    }

    private void onFrame(Frame frame) {
        if (frame instanceof AnswerFrame answer) {
            answers.add(answer);
        } else if (frame instanceof PongFrame pong && pong.sequence() != PongFrame.UNSOLICITED) {
            lastPong = pong.sequence();
        }
    }
}
