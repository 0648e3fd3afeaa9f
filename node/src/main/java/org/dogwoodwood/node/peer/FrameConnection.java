package org.dogwoodwood.node.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.FrameDecoder;
import org.dogwoodwood.codec.wire.FrameEncoder;
import org.dogwoodwood.codec.wire.WireLimits;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Sends and receives frames on one TCP connection. */
final class FrameConnection {

    private final NetSocket socket;
    private final FrameListener listener;
    private final EventLog log;
    private final RecordParser parser;
    private boolean expectsPrefix = true;
    private boolean open = true;
    private boolean received;

    private FrameConnection(NetSocket socket, FrameListener listener, EventLog log) {
        this.socket = socket;
        this.listener = listener;
        this.log = log;
        this.parser = RecordParser.newFixed(WireLimits.PREFIX_BYTES, this::onRecord);
    }

    static FrameConnection attach(NetSocket socket, FrameListener listener, EventLog log) {
        FrameConnection connection = new FrameConnection(socket, listener, log);
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
            socket.write(Buffer.buffer(bytes));
        }
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
                parser.fixedSizeMode(FrameDecoder.checkLength(record.getInt(0)));
                expectsPrefix = false;
                return;
            }
            parser.fixedSizeMode(WireLimits.PREFIX_BYTES);
            expectsPrefix = true;
            listener.onFrame(FrameDecoder.decode(record.getBytes()));
        } catch (DogwoodwoodException e) {
            refuse(e);
        }
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
            listener.onClosed();
        }
    }
}
