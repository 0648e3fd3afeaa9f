package org.dogwoodwood.node.support;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.node.settings.Endpoint;

/** A TCP proxy that can drop the traffic of its open connections while new ones work. */
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

    /** Drops all further traffic of the open connections without closing them. */
    public void blackholeConnections() {
        generation.incrementAndGet();
    }

    private void onConnection(NetSocket downstream) {
        int openedIn = generation.get();
        downstream.pause();
        vertx.createNetClient()
                .connect(upstream.port(), upstream.host())
                .onSuccess(socket -> pipe(downstream, socket, openedIn))
                .onFailure(failure -> downstream.close());
    }

    private void pipe(NetSocket downstream, NetSocket upstreamSocket, int openedIn) {
        forward(downstream, upstreamSocket, openedIn);
        forward(upstreamSocket, downstream, openedIn);
        downstream.resume();
    }

    private void forward(NetSocket from, NetSocket to, int openedIn) {
        from.handler(
                bytes -> {
                    if (openedIn == generation.get()) {
                        to.write(bytes);
                    }
                });
        from.closeHandler(
                ignored -> {
                    if (openedIn == generation.get()) {
                        to.close();
                    }
                });
    }
}
