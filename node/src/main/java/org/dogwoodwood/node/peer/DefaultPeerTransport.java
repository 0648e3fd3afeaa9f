package org.dogwoodwood.node.peer;

import io.vertx.core.Future;
import java.util.Objects;
import java.util.function.Function;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.node.settings.Endpoint;

/** Sends control frames on the same connections as calls. */
public final class DefaultPeerTransport implements PeerTransport {

    private final PeerPool pool;
    private final PeerServer server;

    private DefaultPeerTransport(PeerPool pool, PeerServer server) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.server = Objects.requireNonNull(server, "server");
    }

    /** Returns a transport over the given connections. */
    public static DefaultPeerTransport create(PeerPool pool, PeerServer server) {
        return new DefaultPeerTransport(pool, server);
    }

    @Override
    public Future<ControlFrame> exchange(
            String host, int port, ControlFrame request, long timeoutMillis) {
        return pool.exchange(Endpoint.of(host, port), request, timeoutMillis);
    }

    @Override
    public void setControlHandler(Function<ControlFrame, Future<ControlFrame>> handler) {
        server.setControlHandler(handler);
    }
}
