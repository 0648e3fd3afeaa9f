package org.dogwoodwood.node.peer;

import io.vertx.core.Future;
import java.util.function.Function;
import org.dogwoodwood.codec.wire.ControlFrame;

/** Exchanges control frames with other nodes. */
public interface PeerTransport {

    /**
     * Sends a control frame to a peer.
     *
     * @param host the IP address of the peer, not null
     * @param port the peer port
     * @param request the frame to send, not null
     * @param timeoutMillis the timeout of the answer, in milliseconds
     * @return a future with the answer, which fails on a timeout or a broken connection; completed
     *     on the caller's context
     */
    Future<ControlFrame> exchange(String host, int port, ControlFrame request, long timeoutMillis);

    /**
     * Sets the handler of control frames from peers. It may be called on any thread, and the answer
     * is sent when the future that the handler returns completes.
     *
     * @param handler the handler, not null
     */
    void setControlHandler(Function<ControlFrame, Future<ControlFrame>> handler);
}
