package org.dogwoodwood.node.ingress;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.dogwoodwood.core.connections.ConnectionLimits;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.memory.AcceptLimit;
import org.dogwoodwood.node.memory.ProcessDescriptors;

/**
 * Creates HTTP servers for ports other than those of callers, with bounds on the connections that
 * each of them accepts and on what these hold.
 */
public final class LimitedPort {

    private static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_INITIAL_LINE_BYTES = 4 << 10;
    private static final int SLOW_SENDER_MILLIS = 5_000;
    private static final int IDLE_SECONDS = 30;

    // Probes, metrics, heartbeats and operators use few connections with small heads.
    private static final int MAX_CONNECTIONS = 64;
    private static final int DESCRIPTORS_PER_CONNECTION = 16;
    private static final ConnectionLimits CONNECTIONS =
            new ConnectionLimits(2 << 20, maxConnections());
    private static final IngressLimits LIMITS =
            new IngressLimits(SLOW_SENDER_MILLIS, 0, MAX_HEADER_BYTES, CONNECTIONS);

    private LimitedPort() {}

    /**
     * Returns a server that does not listen yet; it must listen on one event loop.
     *
     * @param vertx creates the server, not null
     * @param handler receives the requests, not null
     * @param log the log, not null
     */
    public static HttpServer create(Vertx vertx, Handler<HttpServerRequest> handler, EventLog log) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setHttp2ClearTextEnabled(false)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                        .setIdleTimeout(IDLE_SECONDS);
        CallerConnections connections = CallerConnections.create(CONNECTIONS, log);
        AcceptLimit port = connections.newAcceptLimit();
        HttpServer server = vertx.createHttpServer(options);
        server.connectionHandler(
                connection -> {
                    CallerConnection caller = connections.add(connection, port);
                    StrictFraming.install(connection, options, LIMITS, caller, head -> {}, log);
                    connection.closeHandler(ignored -> connections.remove(connection));
                });
        server.requestHandler(
                request -> {
                    CallerConnection caller = connections.get(request.connection());
                    if (caller != null) {
                        request.response().endHandler(ignored -> caller.onAnswered());
                        handler.handle(request);
                    }
                });
        return server;
    }

    private static int maxConnections() {
        long share = ProcessDescriptors.available() / DESCRIPTORS_PER_CONNECTION;
        return (int) Math.max(1, Math.min(MAX_CONNECTIONS, share));
    }
}
