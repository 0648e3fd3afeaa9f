package org.dogwoodwood.node.peer;

import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.FrameDecoder;
import org.dogwoodwood.codec.wire.FrameEncoder;
import org.dogwoodwood.codec.wire.WireLimits;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.memory.BodyReservation;

/** Sends and receives frames on one TCP connection. */
final class FrameConnection {

    // Frames up to this size are decoded before the memory for their bodies is reserved.
    private static final int UNCOUNTED_FRAME_BYTES = 64 << 10;

    // A skipped frame is read in parts of this size; the first one holds the id of its attempt.
    private static final int SKIPPED_PART_BYTES = 16 << 10;

    private final NetSocket socket;
    private final FrameListener listener;
    private final BodyMemory memory;
    private final SentFrames sentFrames;
    private final EventLog log;
    private final RecordParser parser;
    private BodyReservation reservation;
    private boolean expectsPrefix = true;
    private int bytesToSkip;
    private int maxFrameBytes = WireLimits.MAX_FRAME_BYTES;
    private boolean firstSkippedPart;
    private boolean open = true;
    private boolean received;
    private PeerPlace place = PeerPlace.UNKNOWN;
    // Bytes of the HELLO that was sent before the place of the peer was known.
    private int unplacedHelloBytes;

    private FrameConnection(
            NetSocket socket,
            FrameListener listener,
            BodyMemory memory,
            SentFrames sentFrames,
            EventLog log) {
        this.socket = socket;
        this.listener = listener;
        this.memory = memory;
        this.sentFrames = sentFrames;
        this.reservation = memory.reservation();
        this.log = log;
        this.parser = RecordParser.newFixed(WireLimits.PREFIX_BYTES, this::onRecord);
    }

    static FrameConnection attach(
            NetSocket socket,
            FrameListener listener,
            BodyMemory memory,
            SentFrames sentFrames,
            EventLog log) {
        FrameConnection connection = new FrameConnection(socket, listener, memory, sentFrames, log);
        socket.handler(connection::onBytes);
        socket.closeHandler(ignored -> connection.onClosed());
        // Vert.x calls the close handler after every failure of the socket.
        socket.exceptionHandler(failure -> connection.close());
        return connection;
    }

    /**
     * Sends a frame; has no effect on a closed connection.
     *
     * @throws DogwoodwoodException if the frame is too large; nothing is sent in this case
     */
    void send(Frame frame) {
        byte[] bytes = FrameEncoder.encode(frame);
        if (open) {
            socket.write(BufferInternal.buffer(Unpooled.wrappedBuffer(bytes)));
            count(frame, bytes.length);
        }
    }

    /** Sets where the peer is, which decides how sent frames are counted. */
    void setPlace(PeerPlace peerPlace) {
        place = peerPlace;
        if (unplacedHelloBytes > 0) {
            sentFrames.add(FrameKind.HELLO, place, unplacedHelloBytes);
            unplacedHelloBytes = 0;
        }
    }

    PeerPlace place() {
        return place;
    }

    private void count(Frame frame, int bytes) {
        FrameKind kind = FrameKind.of(frame);
        if (kind == FrameKind.HELLO && place == PeerPlace.UNKNOWN) {
            unplacedHelloBytes += bytes;
        } else {
            sentFrames.add(kind, place, bytes);
        }
    }

    /** Sets the maximum size of the next frames, in bytes. */
    void setMaxFrameBytes(int bytes) {
        maxFrameBytes = bytes;
    }

    /** Closes the connection and notifies the listener, unless it is closed already. */
    void close() {
        if (open) {
            socket.close();
            onClosed();
        }
    }

    boolean isOpen() {
        return open;
    }

    /** Returns whether any byte has arrived since the last call of this method. */
    boolean takeReceived() {
        boolean result = received;
        received = false;
        return result;
    }

    String remoteAddress() {
        return String.valueOf(socket.remoteAddress());
    }

    private void onBytes(Buffer bytes) {
        received = true;
        if (open) {
            parser.handle(bytes);
        }
    }

    private void onRecord(Buffer record) {
        if (!open) {
            return;
        }
        try {
            if (expectsPrefix) {
                onPrefix(FrameDecoder.checkLength(record.getInt(0)));
            } else if (bytesToSkip > 0) {
                onSkippedPart(record);
            } else {
                expectPrefix();
                onPayload(record);
            }
        } catch (DogwoodwoodException e) {
            refuse(e);
        }
    }

    private void onPrefix(int length) {
        if (length > maxFrameBytes) {
            throw new DogwoodwoodException(
                    ErrorCode.FRAME_TOO_LARGE, "A frame before HELLO has " + length + " bytes.");
        }
        expectsPrefix = false;
        reservation = memory.reservation();
        if (length <= UNCOUNTED_FRAME_BYTES || reservation.tryGrow(length)) {
            parser.fixedSizeMode(length);
            return;
        }
        log.write(
                LogEvent.BODY_MEMORY_USED_UP,
                "from",
                remoteAddress(),
                "held",
                memory.heldBytes(),
                "limit",
                memory.largestBodyBytes());
        bytesToSkip = length;
        firstSkippedPart = true;
        expectSkippedPart();
    }

    private void onPayload(Buffer payload) {
        Frame frame;
        try {
            frame = FrameDecoder.decode(payload.getBytes());
        } finally {
            reservation.release();
        }
        listener.onFrame(frame);
    }

    private void onSkippedPart(Buffer part) {
        boolean first = firstSkippedPart;
        firstSkippedPart = false;
        bytesToSkip -= part.length();
        if (bytesToSkip == 0) {
            expectPrefix();
        } else {
            expectSkippedPart();
        }
        if (first) {
            FrameDecoder.decodeAttempt(part.getBytes()).ifPresent(listener::onSkipped);
        }
    }

    private void expectSkippedPart() {
        parser.fixedSizeMode(Math.min(bytesToSkip, SKIPPED_PART_BYTES));
    }

    private void expectPrefix() {
        parser.fixedSizeMode(WireLimits.PREFIX_BYTES);
        expectsPrefix = true;
    }

    private void refuse(DogwoodwoodException e) {
        log.write(
                LogEvent.FRAME_REFUSED,
                "peer",
                remoteAddress(),
                "error",
                e.code().number(),
                "message",
                e.getMessage());
        close();
    }

    private void onClosed() {
        if (open) {
            open = false;
            reservation.release();
            listener.onClosed();
        }
    }
}
