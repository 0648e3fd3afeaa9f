package org.dogwoodwood.node.support;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.node.settings.Endpoint;

/** Forwards connections and can let the present ones go silent while new ones work. */
public final class TestProxy {

    private final Endpoint upstream;
    private final Vertx vertx;
    private final NetServer server;
    private final AtomicInteger generation = new AtomicInteger();

    private TestProxy(Vertx vertx, Endpoint upstream) {
        this.vertx = vertx;
        this.upstream = upstream;
        this.server = vertx.createNetServer().connectHandler(this::onConnection);
        Waiting.get(server.listen(0, "127.0.0.1"));
    }

    public static TestProxy start(Vertx vertx, Endpoint upstream) {
        return new TestProxy(vertx, upstream);
    }

    public Endpoint address() {
        return Endpoint.of("127.0.0.1", server.actualPort());
    }

    /** Drops all that the present connections carry from here on, without closing them. */
    public void blackholeConnections() {
        generation.incrementAndGet();
    }

    private void onConnection(NetSocket downstream) {
        int born = generation.get();
        downstream.pause();
        vertx.createNetClient()
                .connect(upstream.port(), upstream.host())
                .onSuccess(socket -> pipe(downstream, socket, born))
                .onFailure(failure -> downstream.close());
    }

    private void pipe(NetSocket downstream, NetSocket upstreamSocket, int born) {
        forward(downstream, upstreamSocket, born);
        forward(upstreamSocket, downstream, born);
        downstream.resume();
    }

    private void forward(NetSocket from, NetSocket to, int born) {
        from.handler(
                bytes -> {
                    if (born == generation.get()) {
                        to.write(bytes);
                    }
                });
        from.closeHandler(
                ignored -> {
                    if (born == generation.get()) {
                        to.close();
                    }
                });
    }
}
